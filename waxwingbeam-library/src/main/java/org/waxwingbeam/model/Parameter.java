package org.waxwingbeam.model;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * The parameters of a template, each with its unit, default and range.
 *
 * <p>A client account may override each of them.
 *
 * @since 0.1.0
 */
public enum Parameter {
  /**
   * Maximum time from the arrival of a request to the head of its response, unless the caller's
   * deadline is earlier.
   */
  DEADLINE(Unit.MILLISECONDS, 10_000, 1, 3_600_000),
  /** Maximum pause between two parts of a response body, or of the request body of a transfer. */
  TRANSFER_IDLE(Unit.MILLISECONDS, 30_000, 10, 3_600_000),
  /** Maximum total duration of a transfer. */
  TRANSFER_TOTAL(Unit.MILLISECONDS, 7_200_000, 10, 86_400_000),
  /** Maximum size of a request body. */
  REQUEST_BODY_LIMIT(Unit.BYTES, 16L << 20, 0, 1L << 40),
  /** Maximum size of a response body that is passed on. */
  RESPONSE_BODY_LIMIT(Unit.BYTES, 16L << 30, 64L << 10, 1L << 40),
  /** Time for which the outcome of a non-idempotent request with an idempotency key is stored. */
  CLAIM_RETENTION(Unit.MILLISECONDS, 86_400_000, 1_000, 2_592_000_000L),
  /** Maximum size of a response that is recorded for replay with its idempotency key. */
  RECORDED_ANSWER_LIMIT(Unit.BYTES, 4_096, 0, 65_536),
  /** Retries and hedges allowed for each hundred successful requests. */
  RETRY_BUDGET(Unit.PERCENT, 10, 0, 100),
  /** Time after which an idempotent request is hedged; 0 turns hedging off. */
  HEDGE_AFTER(Unit.MILLISECONDS, 0, 0, 60_000),
  /** Time on targets of this service that the whole fleet may use for probes in each second. */
  PROBE_BUDGET(Unit.MILLISECONDS, 30, 0, 10_000),
  /** Maximum number of requests that wait for a target at one entry instance. */
  QUEUE_LIMIT(Unit.COUNT, 64, 0, 100_000),
  /** Priority for load shedding: 9 is shed first, 0 last. */
  SHED_RANK(Unit.COUNT, 5, 0, 9),
  /** Maximum share of requests that a version receives before it has passed canary analysis. */
  UNPROVEN_SHARE(Unit.PERCENT, 5, 1, 50),
  /** Time for which the old version is kept after the new version has received all traffic. */
  SOAK(Unit.MILLISECONDS, 600_000, 0, 86_400_000),
  /** Whether all requests of a client account go to the same version during a version move. */
  PIN_VERSION_BY_ACCOUNT(Unit.YES_NO, 0, 0, 1),
  /** Maximum number of connections to one target from all entry instances together. */
  CONNECTION_LIMIT(Unit.COUNT, 200, 1, 100_000),
  /** Time for which a poison request is refused. */
  POISON_RETENTION(Unit.MILLISECONDS, 600_000, 1_000, 86_400_000),

  /** Maximum number of attempts for a request. */
  MAX_ATTEMPTS(Unit.COUNT, 3, 1, 10),

  /** Response-time goal: time from the arrival of a request within which it should be served. */
  RESPONSE_GOAL(Unit.MILLISECONDS, 10_000, 1, 3_600_000);

  private final Unit unit;
  private final long defaultValue;
  private final long min;
  private final long max;

  Parameter(Unit unit, long defaultValue, long min, long max) {
    this.unit = unit;
    this.defaultValue = defaultValue;
    this.min = min;
    this.max = max;
  }

  /**
   * Finds a parameter by its key in settings.
   *
   * @param key the key, such as {@code transfer-idle}
   */
  public static Optional<Parameter> ofKey(String key) {
    return Arrays.stream(values()).filter(parameter -> parameter.key().equals(key)).findFirst();
  }

  /** Returns the key in settings, such as {@code transfer-idle}. */
  public String key() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the unit of the values. */
  public Unit unit() {
    return unit;
  }

  /** Returns the value that applies if neither the template nor the client account sets one. */
  public long defaultValue() {
    return defaultValue;
  }

  /** Returns the minimum value. */
  public long min() {
    return min;
  }

  /** Returns the maximum value. */
  public long max() {
    return max;
  }

  /** The unit of a parameter's values. */
  public enum Unit {
    /** Milliseconds. */
    MILLISECONDS,
    /** Bytes. */
    BYTES,
    /** Percent. */
    PERCENT,
    /** A number without a unit. */
    COUNT,
    /** 1 for yes, 0 for no. */
    YES_NO
  }
}
