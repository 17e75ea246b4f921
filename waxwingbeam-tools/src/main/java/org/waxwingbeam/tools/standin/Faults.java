package org.waxwingbeam.tools.standin;

import java.util.List;

/**
 * Holds the faults that are switched on for requests of one route of a stand-in target.
 *
 * @param slow factor on service times
 * @param slowAbove requests at once above which {@code slow} applies; 0 means always
 * @param fail part of the requests that run and are answered with status 500 at once, 0 to 1
 * @param failAbove requests at once above which {@code fail} applies; 0 means always
 * @param shed part of the requests that are refused as overloaded, 0 to 1
 * @param lateMs time by which each answer is delayed, in milliseconds
 * @param truncate part of the answers that end halfway, 0 to 1
 * @since 0.1.0
 */
public record Faults(
    double slow,
    int slowAbove,
    double fail,
    int failAbove,
    double shed,
    long lateMs,
    double truncate) {
  /** No fault. */
  public static final Faults NONE = new Faults(1, 0, 0, 0, 0, 0, 0);

  static final List<String> KEYS =
      List.of("slow", "slow-above", "fail", "fail-above", "shed", "late", "truncate");

  /**
   * Returns a copy with one value changed.
   *
   * @param key one of {@code slow}, {@code slow-above}, {@code fail}, {@code fail-above}, {@code
   *     shed}, {@code late}, {@code truncate}
   * @throws IllegalArgumentException if the key is unknown or the value is not a number
   */
  public Faults with(String key, String value) {
    double number = Double.parseDouble(value);
    return switch (key) {
      case "slow" -> new Faults(number, slowAbove, fail, failAbove, shed, lateMs, truncate);
      case "slow-above" -> new Faults(slow, (int) number, fail, failAbove, shed, lateMs, truncate);
      case "fail" -> new Faults(slow, slowAbove, number, failAbove, shed, lateMs, truncate);
      case "fail-above" -> new Faults(slow, slowAbove, fail, (int) number, shed, lateMs, truncate);
      case "shed" -> new Faults(slow, slowAbove, fail, failAbove, number, lateMs, truncate);
      case "late" -> new Faults(slow, slowAbove, fail, failAbove, shed, (long) number, truncate);
      case "truncate" -> new Faults(slow, slowAbove, fail, failAbove, shed, lateMs, number);
      default ->
          throw new IllegalArgumentException(
              "unknown fault '%s': expected one of %s".formatted(key, KEYS));
    };
  }
}
