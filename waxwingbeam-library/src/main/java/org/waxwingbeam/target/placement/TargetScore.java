package org.waxwingbeam.target.placement;

/**
 * Predicts how long a request takes at a target, as a multiple of its usual time.
 *
 * @param outstanding requests that are probably there already
 * @param slots requests that it can run at once
 * @param slowness how many times as long as usual work takes there now
 * @param failureShare share of its recent answers that were failures
 */
record TargetScore(double outstanding, int slots, double slowness, double failureShare) {
  /** Occupancy above which many targets work more slowly. */
  private static final double KNEE = 0.75;

  /** How much longer work takes at a target whose slots are all in use. */
  private static final double KNEE_SLOWDOWN = 0.7;

  /** Weight of failures: a target that always fails counts as this many times slower. */
  private static final double FAILURE_WEIGHT = 8;

  /** Returns the predicted time as a multiple of the usual time of the request. */
  double predictedTime() {
    double occupancy = (outstanding + 1) / slots;
    double crowding = 1 + KNEE_SLOWDOWN * Math.clamp((occupancy - KNEE) / (1 - KNEE), 0, 1);
    double waiting = Math.max(0, occupancy - 1);
    return slowness * (crowding + waiting);
  }

  /** Returns the value by which targets are compared; the lowest is best. */
  double value() {
    double light = 0.1 * outstanding / slots;
    return (predictedTime() + light) * (1 + FAILURE_WEIGHT * failureShare);
  }
}
