package org.waxwingbeam.logging;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Formats an event as one line of key=value pairs. A value is quoted if it is empty or contains
 * white space, a quote, a backslash, an equals sign or a control character.
 *
 * <pre>{@code
 * EventLine.format("refused", "kind", "no-target", "path", "/a b");
 * // event=refused kind=no-target path="/a b"
 * }</pre>
 *
 * @since 0.1.0
 */
public final class EventLine {
  private static final Pattern PLAIN = Pattern.compile("[^\\s\"=\\\\\\p{Cntrl}]+");

  private static final Pattern FIELD =
      Pattern.compile("([A-Za-z0-9_]+)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|([^\\s\"=]+))(?:\\s+|$)");
  private static final Pattern ESCAPE = Pattern.compile("\\\\(u[0-9a-f]{4}|.)");
  private static final int HEX = 16;

  /**
   * One key and its value.
   *
   * @param key the key
   * @param value the value without quotes
   */
  public record Field(String key, String value) {}

  private EventLine() {}

  /**
   * Parses a line, or the part of it that consists of pairs. The inverse of {@link #format}.
   *
   * @throws IllegalArgumentException if the text does not consist of key=value pairs
   */
  public static List<Field> parse(String text) {
    List<Field> fields = new ArrayList<>();
    Matcher matcher = FIELD.matcher(text);
    int end = 0;
    while (matcher.find() && matcher.start() == end) {
      String quoted = matcher.group(2);
      fields.add(
          new Field(matcher.group(1), quoted == null ? matcher.group(3) : unescaped(quoted)));
      end = matcher.end();
    }
    if (end != text.length() || fields.isEmpty()) {
      throw new IllegalArgumentException(
          "position %d: expected key=value, found '%s'".formatted(end, text.substring(end)));
    }
    return fields;
  }

  private static String unescaped(String quoted) {
    return ESCAPE
        .matcher(quoted)
        .replaceAll(found -> Matcher.quoteReplacement(character(found.group(1))));
  }

  private static String character(String escape) {
    return switch (escape.charAt(0)) {
      case 'n' -> "\n";
      case 'r' -> "\r";
      case 't' -> "\t";
      case 'u' -> String.valueOf((char) Integer.parseInt(escape.substring(1), HEX));
      default -> escape;
    };
  }

  /**
   * Formats an event.
   *
   * @param event the name of the event
   * @param pairs alternating keys and values
   * @throws IllegalArgumentException if the last key has no value
   */
  public static String format(String event, Object... pairs) {
    if (pairs.length % 2 != 0) {
      throw new IllegalArgumentException(
          "event %s: expected keys and values in turn, found %d words"
              .formatted(event, pairs.length));
    }
    StringBuilder line = new StringBuilder("event=").append(value(event));
    for (int i = 0; i < pairs.length; i += 2) {
      line.append(' ').append(pairs[i]).append('=').append(value(String.valueOf(pairs[i + 1])));
    }
    return line.toString();
  }

  /** Returns a value, quoted if necessary. */
  static String value(String text) {
    return PLAIN.matcher(text).matches() ? text : quoted(text);
  }

  private static String quoted(String text) {
    StringBuilder line = new StringBuilder("\"");
    text.chars().forEach(character -> append(line, (char) character));
    return line.append('"').toString();
  }

  private static void append(StringBuilder line, char character) {
    switch (character) {
      case '"', '\\' -> line.append('\\').append(character);
      case '\n' -> line.append("\\n");
      case '\r' -> line.append("\\r");
      case '\t' -> line.append("\\t");
      default -> {
        if (Character.isISOControl(character)) {
          line.append("\\u%04x".formatted((int) character));
        } else {
          line.append(character);
        }
      }
    }
  }
}
