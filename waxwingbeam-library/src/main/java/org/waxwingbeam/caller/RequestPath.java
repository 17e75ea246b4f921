package org.waxwingbeam.caller;

import java.util.Optional;

/** Normalizes the path of a request target so that it can be matched against path patterns. */
final class RequestPath {
  private static final int ESCAPE_LENGTH = 3;

  private RequestPath() {}

  /**
   * Returns the path without its query and with percent-encoded unreserved characters (letters,
   * digits, {@code -}, {@code .}, {@code _} and {@code ~}) decoded. Returns empty if the path is
   * not absolute, has an invalid percent-encoding or a segment {@code .} or {@code ..}.
   */
  static Optional<String> normalized(String uri) {
    int end = uri.indexOf('?');
    String raw = end < 0 ? uri : uri.substring(0, end);
    if (!raw.startsWith("/") || raw.indexOf('#') >= 0) {
      return Optional.empty();
    }
    Optional<String> path = raw.indexOf('%') < 0 ? Optional.of(raw) : decode(raw);
    return path.filter(each -> !hasDotSegment(each));
  }

  private static Optional<String> decode(String raw) {
    StringBuilder path = new StringBuilder(raw.length());
    int at = 0;
    while (at < raw.length()) {
      char c = raw.charAt(at);
      if (c != '%') {
        path.append(c);
        at++;
        continue;
      }
      int value = escapedValue(raw, at);
      if (value < 0) {
        return Optional.empty();
      }
      if (isUnreserved(value)) {
        path.append((char) value);
      } else {
        path.append(raw, at, at + ESCAPE_LENGTH);
      }
      at += ESCAPE_LENGTH;
    }
    return Optional.of(path.toString());
  }

  private static int escapedValue(String raw, int at) {
    if (at + ESCAPE_LENGTH > raw.length()) {
      return -1;
    }
    int high = Character.digit(raw.charAt(at + 1), 16);
    int low = Character.digit(raw.charAt(at + 2), 16);
    return high < 0 || low < 0 ? -1 : high * 16 + low;
  }

  private static boolean isUnreserved(int c) {
    return (c >= 'a' && c <= 'z')
        || (c >= 'A' && c <= 'Z')
        || (c >= '0' && c <= '9')
        || "-._~".indexOf(c) >= 0;
  }

  private static boolean hasDotSegment(String path) {
    return path.contains("/.")
        && (path.contains("/./")
            || path.contains("/../")
            || path.endsWith("/.")
            || path.endsWith("/.."));
  }
}
