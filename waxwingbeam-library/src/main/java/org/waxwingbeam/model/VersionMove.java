package org.waxwingbeam.model;

/**
 * The gradual move of a service's traffic from an old version to a new one.
 *
 * @param service the service
 * @param from the old version
 * @param to the new version
 * @param startMs when the move was accepted, in milliseconds since the epoch
 * @param deadlineMs when the move must be finished or rolled back, in milliseconds since the epoch
 * @param sharePerMille the share of requests that the new version receives now, 0 to 1,000
 * @param state the state of the move
 * @param reason why the move was rolled back, or an empty string
 * @since 0.1.0
 */
public record VersionMove(
    ServiceName service,
    VersionName from,
    VersionName to,
    long startMs,
    long deadlineMs,
    int sharePerMille,
    State state,
    String reason) {

  /**
   * Returns a copy with another share, state and reason.
   *
   * @param newSharePerMille the share of requests that the new version receives, 0 to 1,000
   * @param newState the state of the move
   * @param newReason why the move was rolled back, or an empty string
   */
  public VersionMove withProgress(int newSharePerMille, State newState, String newReason) {
    return new VersionMove(
        service, from, to, startMs, deadlineMs, newSharePerMille, newState, newReason);
  }

  /** The state of a version move. */
  public enum State {
    /** The share of the new version is being increased. */
    RUNNING,
    /** The new version receives all traffic; the old version is kept for a rollback. */
    SOAKING,
    /** The move is complete. */
    FINISHED,
    /** The old version receives all traffic again. */
    ROLLED_BACK
  }
}
