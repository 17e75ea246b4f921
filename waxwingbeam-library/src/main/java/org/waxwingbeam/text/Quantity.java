package org.waxwingbeam.text;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats quantities with their units.
 *
 * <pre>{@code
 * Quantity.DURATION.parse("250 ms"); // 250
 * Quantity.SIZE.parse("16 KiB");     // 16384
 * Quantity.SIZE.format(16384);       // "16 KiB"
 * }</pre>
 *
 * @since 0.1.0
 */
public enum Quantity {
  /** A duration in milliseconds. */
  DURATION("a duration such as 250 ms"),
  /** A size in bytes. */
  SIZE("a size such as 16 KiB"),
  /** A percentage as a whole number of percent. */
  PERCENTAGE("a percentage such as 5 %"),
  /** A plain number. */
  NUMBER("a number such as 64");

  private static final Pattern FORM = Pattern.compile("(\\d{1,15})\\s*(\\S*)");

  private final String description;

  Quantity(String description) {
    this.description = description;
  }

  /** Describes the expected format, such as {@code a duration such as 250 ms}. */
  public String description() {
    return description;
  }

  /**
   * Parses a quantity.
   *
   * @param text an integer and one of the units
   * @return the value in the smallest unit, or empty if the text is malformed or out of range
   */
  public OptionalLong parse(String text) {
    Matcher parts = FORM.matcher(text.strip());
    if (!parts.matches()) {
      return OptionalLong.empty();
    }
    Optional<Unit> unit =
        units().stream().filter(each -> each.name().equals(parts.group(2))).findFirst();
    long number = Long.parseLong(parts.group(1));
    return unit.isPresent() ? product(number, unit.get().factor()) : OptionalLong.empty();
  }

  private static OptionalLong product(long number, long factor) {
    return number <= Long.MAX_VALUE / factor
        ? OptionalLong.of(number * factor)
        : OptionalLong.empty();
  }

  /** Formats a value in the largest unit that needs no fraction. */
  public String format(long value) {
    Unit unit =
        units().stream()
            .filter(each -> value % each.factor() == 0 && (value != 0 || each.factor() == 1))
            .max(Comparator.comparingLong(Unit::factor))
            .orElseThrow();
    return "%d %s".formatted(value / unit.factor(), unit.name()).strip();
  }

  private List<Unit> units() {
    return switch (this) {
      case DURATION ->
          List.of(
              new Unit("ms", 1),
              new Unit("s", 1_000),
              new Unit("min", 60_000),
              new Unit("h", 3_600_000),
              new Unit("d", 86_400_000));
      case SIZE ->
          List.of(
              new Unit("B", 1),
              new Unit("KiB", 1L << 10),
              new Unit("MiB", 1L << 20),
              new Unit("GiB", 1L << 30),
              new Unit("TiB", 1L << 40));
      case PERCENTAGE -> List.of(new Unit("%", 1));
      case NUMBER -> List.of(new Unit("", 1));
    };
  }

  private record Unit(String name, long factor) {}
}
