package org.waxwingbeam.tools.explain;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.waxwingbeam.logging.EventLine;

/**
 * One line of a process's log.
 *
 * @param source the process: the word before the time, as collectors of logs write it, or the name
 *     of the file
 * @param time when the line was logged
 * @param fields the pairs of the line, in its order
 */
record LogLine(String source, Instant time, List<EventLine.Field> fields) {
  private static final String TIME = "time=";
  private static final Pattern LAST_WORD = Pattern.compile("^.*?(\\S+)$");

  LogLine {
    fields = List.copyOf(fields);
  }

  /** Parses a line; returns empty if it is not a line of a log. */
  static Optional<LogLine> parse(String file, String text) {
    int start = text.indexOf(TIME);
    if (start < 0) {
      return Optional.empty();
    }
    try {
      List<EventLine.Field> fields = EventLine.parse(text.substring(start).strip());
      return Optional.of(
          new LogLine(
              source(file, text.substring(0, start)),
              Instant.parse(fields.getFirst().value()),
              fields));
    } catch (IllegalArgumentException | DateTimeParseException malformed) {
      return Optional.empty();
    }
  }

  private static String source(String file, String prefix) {
    String words = prefix.strip();
    return words.isEmpty() ? file : LAST_WORD.matcher(words).replaceFirst("$1");
  }

  String event() {
    return value("event");
  }

  /** Returns the value of a key, or "unknown" if the line has none. */
  String value(String key) {
    return fields.stream()
        .filter(each -> each.key().equals(key))
        .findFirst()
        .map(EventLine.Field::value)
        .orElse("unknown");
  }

  long number(String key) {
    try {
      return Long.parseLong(value(key));
    } catch (NumberFormatException missing) {
      return 0;
    }
  }

  /** Returns the pairs after the event, as in the log. */
  String details() {
    StringBuilder text = new StringBuilder();
    fields.stream()
        .filter(each -> !List.of("time", "level", "logger", "event").contains(each.key()))
        .forEach(each -> text.append(' ').append(each.key()).append('=').append(each.value()));
    return text.toString().strip();
  }
}
