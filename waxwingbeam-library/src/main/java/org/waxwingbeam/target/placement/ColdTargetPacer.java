package org.waxwingbeam.target.placement;

import java.util.random.RandomGenerator;

/**
 * Spaces out the requests of one entry instance to one cold target, so that all entry instances
 * together stay under what the target can take. Each sends at equal intervals that begin at a
 * random time; no count is shared.
 */
final class ColdTargetPacer {
  /** Part of the capacity of a cold target that the fleet uses on average. */
  private static final double USED_PART = 0.6;

  private static final double NANOS_PER_SECOND = 1e9;

  private final RandomGenerator random;
  private boolean cold;
  private long coldEndNanos;
  private long nextNanos;

  ColdTargetPacer(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Notes that the target is cold.
   *
   * @param nowNanos the present time
   * @param endNanos when it will be warm
   * @param intervalNanos time between two requests of this entry instance
   */
  void chill(long nowNanos, long endNanos, long intervalNanos) {
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
  boolean mayTake(long nowNanos) {
    return !isCold(nowNanos) || nowNanos - nextNanos >= 0;
  }

  /** Notes that a request is sent to the target. */
  void take(long nowNanos, long intervalNanos) {
    if (isCold(nowNanos)) {
      nextNanos = nowNanos + intervalNanos;
    }
  }

  /**
   * Returns the time between two requests of one entry instance to a cold target.
   *
   * @param perSecond requests a second that the target can take
   * @param fleetSize entry instances that may send to it
   */
  static long intervalNanos(double perSecond, int fleetSize) {
    double rate = Math.max(0.01, perSecond) * USED_PART / Math.max(1, fleetSize);
    return (long) (NANOS_PER_SECOND / rate);
  }
}
