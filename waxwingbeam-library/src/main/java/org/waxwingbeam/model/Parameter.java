package org.waxwingbeam.model;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Lists the parameters of a template, each with its unit, default and range.
 *
 * <p>A client account may override any of them for itself.
 *
 * @since 0.1.0
 */
public enum Parameter {
  /** Time from a request's arrival to its answer's head, unless the caller asks for less. */
  DEADLINE(Unit.MILLISECONDS, 10_000, 1, 3_600_000),
  /** Longest pause between two parts of a transfer. */
  TRANSFER_IDLE(Unit.MILLISECONDS, 30_000, 10, 3_600_000),
  /** Longest duration of a whole transfer. */
  TRANSFER_TOTAL(Unit.MILLISECONDS, 7_200_000, 10, 86_400_000),
  /** Largest request body. */
  REQUEST_BODY_LIMIT(Unit.BYTES, 16L << 20, 0, 1L << 40),
  /** Time for which the outcome of a keyed non-idempotent request is remembered. */
  CLAIM_RETENTION(Unit.MILLISECONDS, 86_400_000, 1_000, 2_592_000_000L),
  /** Largest answer that is kept for replay with its idempotency key. */
  RECORDED_ANSWER_LIMIT(Unit.BYTES, 4_096, 0, 65_536),
  /** Retries and hedges allowed for each hundred successes. */
  RETRY_BUDGET(Unit.PERCENT, 10, 0, 100),
  /** Time after which an idempotent request is sent to a second target; 0 turns it off. */
  HEDGE_AFTER(Unit.MILLISECONDS, 0, 0, 60_000),
  /** Target time that the whole fleet may spend on measuring this service in each second. */
  PROBE_BUDGET(Unit.MILLISECONDS, 30, 0, 10_000),
  /** Requests that may wait for a target at one entry instance. */
  QUEUE_LIMIT(Unit.COUNT, 64, 0, 100_000),
  /** Order in which load is shed: 0 is shed last, 9 first. */
  SHED_RANK(Unit.COUNT, 5, 0, 9),
  /** Greatest share of requests that an unproven version may receive. */
  UNPROVEN_SHARE(Unit.PERCENT, 5, 1, 50),
  /** Time for which the old version is kept after a version move has carried all traffic. */
  SOAK(Unit.MILLISECONDS, 600_000, 0, 86_400_000),
  /** Whether every request of a client account goes to one version during a move. */
  PIN_VERSION_BY_ACCOUNT(Unit.YES_NO, 0, 0, 1),
  /** Connections to one target, shared by all entry instances. */
  CONNECTION_LIMIT(Unit.COUNT, 200, 1, 100_000),
  /** Time for which a request that crashed targets is refused. */
  POISON_RETENTION(Unit.MILLISECONDS, 600_000, 1_000, 86_400_000),

  /** The most targets that one request is sent to. */
  MAX_ATTEMPTS(Unit.COUNT, 3, 1, 10),

  /** Time from a request's arrival within which an answer has its full worth. */
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
   * Finds a parameter by the key that settings use.
   *
   * @param key such as {@code transfer-idle}
   */
  public static Optional<Parameter> ofKey(String key) {
    return Arrays.stream(values()).filter(parameter -> parameter.key().equals(key)).findFirst();
  }

  /** Returns the key that settings use, such as {@code transfer-idle}. */
  public String key() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the unit of every value. */
  public Unit unit() {
    return unit;
  }

  /** Returns the value where neither template nor client account states one. */
  public long defaultValue() {
    return defaultValue;
  }

  /** Returns the least allowed value. */
  public long min() {
    return min;
  }

  /** Returns the greatest allowed value. */
  public long max() {
    return max;
  }

  /** Tells how the values of a parameter are counted. */
  public enum Unit {
    /** Thousandths of a second. */
    MILLISECONDS,
    /** Bytes. */
    BYTES,
    /** Hundredths. */
    PERCENT,
    /** A plain number. */
    COUNT,
    /** 1 for yes, 0 for no. */
    YES_NO
  }
}
