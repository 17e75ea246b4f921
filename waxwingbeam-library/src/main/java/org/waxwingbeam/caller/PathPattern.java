package org.waxwingbeam.caller;

/** Matches request paths against a pattern of segments. */
final class PathPattern {
  private static final String ONE = "*";
  private static final String REST = "**";

  private final String[] segments;
  private final boolean open;

  PathPattern(String pattern) {
    String[] parts = split(pattern);
    open = parts.length > 0 && parts[parts.length - 1].equals(REST);
    segments = open ? java.util.Arrays.copyOf(parts, parts.length - 1) : parts;
  }

  /** Splits a path, without its leading slash, into segments. */
  static String[] split(String path) {
    return path.substring(path.startsWith("/") ? 1 : 0).split("/", -1);
  }

  boolean matches(String[] path) {
    if (open ? path.length < segments.length : path.length != segments.length) {
      return false;
    }
    for (int i = 0; i < segments.length; i++) {
      if (!segments[i].equals(ONE) && !segments[i].equals(path[i])) {
        return false;
      }
    }
    return true;
  }
}
