package org.waxwingbeam.target.placement;

import java.util.random.RandomGenerator;

/**
 * Paces the requests of one entry instance to one cold target, so that all entry instances together
 * stay below the capacity of the target. Each entry instance sends at a fixed interval with a
 * random initial offset; the entry instances share no counter.
 */
final class ColdTargetPacer {
  /** Fraction of a cold target's capacity that all entry instances together use on average. */
  private static final double CAPACITY_FRACTION = 0.6;

  private static final double NANOS_PER_SECOND = 1e9;

  private final RandomGenerator random;
  private boolean cold;
  private long coldEndNanos;
  private long nextNanos;

  ColdTargetPacer(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Starts pacing because the target is cold.
   *
   * @param nowNanos the current time
   * @param endNanos when the target becomes warm
   * @param intervalNanos time between two requests of this entry instance
   */
  void startPacing(long nowNanos, long endNanos, long intervalNanos) {
    if (!isCold(nowNanos)) {
      nextNanos = nowNanos + (long) (random.nextDouble() * intervalNanos);
    }
    cold = true;
    coldEndNanos = endNanos;
  }

  boolean isCold(long nowNanos) {
    return cold && nowNanos - coldEndNanos < 0;
  }

  /** Returns whether a request may be sent to the target now. */
  boolean allowsRequest(long nowNanos) {
    return !isCold(nowNanos) || nowNanos - nextNanos >= 0;
  }

  /** Records that a request is sent to the target. */
  void recordRequest(long nowNanos, long intervalNanos) {
    if (isCold(nowNanos)) {
      nextNanos = nowNanos + intervalNanos;
    }
  }

  /**
   * Returns the time between two requests of one entry instance to a cold target.
   *
   * @param perSecond requests per second that the target can serve while it is cold
   * @param fleetSize number of entry instances that may send to the target
   */
  static long intervalNanos(double perSecond, int fleetSize) {
    double rate = Math.max(0.01, perSecond) * CAPACITY_FRACTION / Math.max(1, fleetSize);
    return (long) (NANOS_PER_SECOND / rate);
  }
}
