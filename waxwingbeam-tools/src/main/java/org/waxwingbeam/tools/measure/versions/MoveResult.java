package org.waxwingbeam.tools.measure.versions;

import org.waxwingbeam.model.VersionMove;

/**
 * The result of one version move in the model.
 *
 * @param good whether the new version has no fault
 * @param state the final state of the move
 * @param reason why it was rolled back, or an empty string
 * @param fullShareMs when the new version got all traffic, in ms since the start, or NaN
 * @param deadlineMs the deadline, in ms since the start
 * @param timeToStopMs time from the first fault to the last request that was sent to the new
 *     version, or NaN
 * @param newRequests requests that the new version received
 * @param requests all requests of the service until the last one that the new version received
 * @param unprovenExcess the largest number of requests by which the new version exceeded its share
 *     while unproven
 * @param callerErrors requests that failed for callers because of the new version
 */
record MoveResult(
    boolean good,
    VersionMove.State state,
    String reason,
    double fullShareMs,
    double deadlineMs,
    double timeToStopMs,
    long newRequests,
    long requests,
    double unprovenExcess,
    long callerErrors) {

  boolean finishedInTime() {
    boolean atFullShare = state == VersionMove.State.SOAKING || state == VersionMove.State.FINISHED;
    return atFullShare && fullShareMs <= deadlineMs;
  }

  boolean rolledBack() {
    return state == VersionMove.State.ROLLED_BACK;
  }

  double newRequestShare() {
    return requests == 0 ? 0 : (double) newRequests / requests;
  }
}
