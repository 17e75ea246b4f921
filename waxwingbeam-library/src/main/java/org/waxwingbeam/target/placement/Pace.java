package org.waxwingbeam.target.placement;

import java.util.concurrent.TimeUnit;

/**
 * Learns how much longer a target takes than others for the same routes. It notices slowness that
 * the target's own reports do not tell, and forgets it within seconds, so that a target that has
 * recovered is found again.
 */
final class Pace {
  /** Weight of the newest answer; about seven answers decide. */
  private static final double WEIGHT = 0.15;

  /** Time after which two thirds of what was learned are forgotten. */
  private static final double MEMORY_NANOS = TimeUnit.SECONDS.toNanos(6);

  /** Differences up to this factor are ordinary and have no effect. */
  private static final double ORDINARY_FACTOR = 1.6;

  private static final double MAX_FACTOR = 30;

  private double logFactor;
  private long notedNanos;

  /**
   * Takes in an answer.
   *
   * @param factor its time as a multiple of what is usual for its route
   */
  void answered(long nowNanos, double factor) {
    double present = present(nowNanos);
    logFactor = present + WEIGHT * (Math.log(Math.clamp(factor, 0.1, MAX_FACTOR)) - present);
    notedNanos = nowNanos;
  }

  /**
   * Takes in an attempt that ended before it was answered.
   *
   * @param factor the time that it had lasted, as a multiple of what is usual for its route
   */
  void gaveUp(long nowNanos, double factor) {
    if (Math.log(Math.max(factor, 0.1)) > present(nowNanos)) {
      answered(nowNanos, factor);
    }
  }

  private double present(long nowNanos) {
    return logFactor * Math.exp(-Math.max(0, nowNanos - notedNanos) / MEMORY_NANOS);
  }

  /** Returns how many times as long the target takes, at least 1. */
  double factor(long nowNanos) {
    return Math.max(1, Math.exp(present(nowNanos)) / ORDINARY_FACTOR);
  }
}
