package org.waxwingbeam.tools.standin;

import java.util.List;

/**
 * The faults of a stand-in target for the requests of one path prefix.
 *
 * @param slow factor on service times
 * @param slowAbove number of running requests above which {@code slow} applies; 0 means always
 * @param fail fraction of the requests that run and fail at once with status 500, 0 to 1
 * @param failAbove number of running requests above which {@code fail} applies; 0 means always
 * @param shed fraction of the requests that are refused as overloaded, 0 to 1
 * @param lateMs time added to each request's service time, in milliseconds
 * @param truncate fraction of the responses that end halfway, 0 to 1
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
  /** No faults. */
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
