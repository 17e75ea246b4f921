package org.waxwingbeam.target.placement;

/**
 * Decides whether a request is sent to the best target that was found for it, or refused at once.
 *
 * <p>The load it answers is one above what the targets can serve: requests that wait at targets
 * past their response-time goal would make all later ones late too. So a request goes where a slot
 * is free, or where it will probably be answered within its goal; any other is refused while its
 * caller still has time to come back.
 */
final class Admission {
  /**
   * Part of the time left to the goal that the predicted time may take: answers vary by about a
   * third around the prediction.
   */
  private static final double PREDICTED_PART = 0.75;

  /** Estimates of what others have under way are fractions; this much counts as nothing. */
  private static final double ROUNDING = 0.5;

  private Admission() {}

  /**
   * Describes the best target for a request.
   *
   * @param outstanding requests that are probably there already
   * @param slots requests that it can run at once
   * @param predictedNanos probable time until the answer; 0 if nothing is known of the route
   */
  record Offer(double outstanding, int slots, double predictedNanos) {
    boolean hasFreeSlot() {
      return outstanding + 1 <= slots + ROUNDING;
    }
  }

  /**
   * Returns whether a request may be sent.
   *
   * @param offer the best target
   * @param goalLeftNanos time left until the answer loses most of its worth
   * @param deadlineLeftNanos time left until the caller gives up
   * @param hedge whether an earlier attempt is still under way
   */
  static boolean admits(Offer offer, long goalLeftNanos, long deadlineLeftNanos, boolean hedge) {
    if (offer.predictedNanos() > deadlineLeftNanos) {
      return false;
    }
    return offer.hasFreeSlot()
        || (!hedge && offer.predictedNanos() <= PREDICTED_PART * goalLeftNanos);
  }
}
