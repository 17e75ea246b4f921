package org.waxwingbeam.target.placement;

/**
 * Predicts the response time of a target as a multiple of the usual response time of a request.
 *
 * @param outstanding estimated number of requests at the target
 * @param slots requests that the target can run concurrently
 * @param slowness 1 at the usual speed, 2 if requests take twice as long
 * @param failureShare share of failures among the recent responses of the target
 */
record TargetScore(double outstanding, int slots, double slowness, double failureShare) {
  /** Occupancy of the slots above which many targets become slower. */
  private static final double KNEE_OCCUPANCY = 0.75;

  /** Additional time, as a fraction of the usual, at a target whose slots are all in use. */
  private static final double FULL_SLOWDOWN = 0.7;

  /** Prefers the less occupied of two targets with the same predicted time. */
  private static final double OCCUPANCY_WEIGHT = 0.1;

  /** Penalty for failures: a failure share of 1 adds this multiple of the predicted time. */
  private static final double FAILURE_WEIGHT = 8;

  /** Returns the predicted response time as a multiple of the usual one. */
  double predictedTime() {
    double occupancy = (outstanding + 1) / slots;
    double runTime =
        1 + FULL_SLOWDOWN * Math.clamp((occupancy - KNEE_OCCUPANCY) / (1 - KNEE_OCCUPANCY), 0, 1);
    double queueTime = Math.max(0, occupancy - 1);
    return slowness * (runTime + queueTime);
  }

  /** Returns the score by which targets are compared; the lowest is best. */
  double score() {
    double occupancyPenalty = OCCUPANCY_WEIGHT * outstanding / slots;
    return (predictedTime() + occupancyPenalty) * (1 + FAILURE_WEIGHT * failureShare);
  }
}
