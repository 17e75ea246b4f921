package org.waxwingbeam.tools.measure.versions;

import org.waxwingbeam.model.VersionMove;

/**
 * What came of one version move in the model.
 *
 * @param good whether the new version is without fault
 * @param state the move's last state
 * @param reason why it was rolled back, or empty text
 * @param fullShareMs when the new version carried all traffic, in ms since the start, or NaN
 * @param deadlineMs the deadline, in ms since the start
 * @param timeToStopMs time from the first fault to the last new request on the new version, or NaN
 * @param newRequests requests that the new version received
 * @param requests all requests of the service until the last one that the new version received
 * @param unprovenExcess greatest excess of the new version's requests over its share while
 *     unproven, in requests
 * @param callerErrors requests of callers that failed because of the new version
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
