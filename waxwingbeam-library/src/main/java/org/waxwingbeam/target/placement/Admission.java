package org.waxwingbeam.target.placement;

/**
 * Admission control: decides whether a request is sent to the best target or refused at once.
 *
 * <p>Under overload, requests that queue at targets past their response-time goal would delay all
 * later requests past theirs too. A request is therefore admitted only if the target has a free
 * slot, or if the predicted response time is within the goal. Other requests are refused early, so
 * that the caller still has time to retry.
 */
final class Admission {
  /**
   * Fraction of the time left to the goal that the predicted response time may use. Actual response
   * times vary by about a third around the prediction.
   */
  private static final double MAX_GOAL_FRACTION = 0.75;

  /**
   * Excess over the slot count that still counts as a free slot. The number of outstanding requests
   * is an estimate and not an integer.
   */
  private static final double SLOT_TOLERANCE = 0.5;

  private Admission() {}

  /**
   * The load of the best target for a request.
   *
   * @param outstanding estimated number of requests at the target
   * @param slots requests that the target can run concurrently
   * @param predictedNanos predicted response time; 0 if no response time of the route is known
   */
  record Candidate(double outstanding, int slots, double predictedNanos) {
    boolean hasFreeSlot() {
      return outstanding + 1 <= slots + SLOT_TOLERANCE;
    }
  }

  /**
   * Returns whether a request may be sent.
   *
   * @param candidate the best target
   * @param goalLeftNanos time left until the response-time goal of the request
   * @param deadlineLeftNanos time left until the deadline of the request
   * @param hedge whether an earlier attempt at the request is still outstanding
   */
  static boolean admits(
      Candidate candidate, long goalLeftNanos, long deadlineLeftNanos, boolean hedge) {
    if (candidate.predictedNanos() > deadlineLeftNanos) {
      return false;
    }
    return candidate.hasFreeSlot()
        || (!hedge && candidate.predictedNanos() <= MAX_GOAL_FRACTION * goalLeftNanos);
  }
}
