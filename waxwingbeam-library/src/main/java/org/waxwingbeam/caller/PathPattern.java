package org.waxwingbeam.caller;

/**
 * Matches request paths against a pattern of segments, in which {@code *} matches any one segment
 * and a final {@code **} any number of segments.
 */
final class PathPattern {
  private static final String ANY_SEGMENT = "*";
  private static final String ANY_SUFFIX = "**";

  private final String[] segments;
  private final boolean matchesAnySuffix;

  PathPattern(String pattern) {
    String[] parts = split(pattern);
    matchesAnySuffix = parts.length > 0 && parts[parts.length - 1].equals(ANY_SUFFIX);
    segments = matchesAnySuffix ? java.util.Arrays.copyOf(parts, parts.length - 1) : parts;
  }

  /** Splits a path, without its leading slash, into segments. */
  static String[] split(String path) {
    return path.substring(path.startsWith("/") ? 1 : 0).split("/", -1);
  }

  boolean matches(String[] path) {
    if (matchesAnySuffix ? path.length < segments.length : path.length != segments.length) {
      return false;
    }
    for (int i = 0; i < segments.length; i++) {
      if (!segments[i].equals(ANY_SEGMENT) && !segments[i].equals(path[i])) {
        return false;
      }
    }
    return true;
  }
}
