package org.waxwingbeam.model;

/**
 * Describes the move of a service's traffic from one version to another.
 *
 * @param service the service
 * @param from the version that carried the traffic before
 * @param to the version that is to carry it
 * @param startMs when the move was accepted, in milliseconds since the epoch
 * @param deadlineMs when it must be finished or rolled back, in milliseconds since the epoch
 * @param sharePerMille the part of the requests that the new version receives now, 0 to 1,000
 * @param state how far the move has come
 * @param reason why it was rolled back, or empty text
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
   * Returns the same move at another stage.
   *
   * @param newSharePerMille the part of the requests that the new version receives, 0 to 1,000
   * @param newState how far the move has come
   * @param newReason why it was rolled back, or empty text
   */
  public VersionMove withProgress(int newSharePerMille, State newState, String newReason) {
    return new VersionMove(
        service, from, to, startMs, deadlineMs, newSharePerMille, newState, newReason);
  }

  /** Tells how far a move has come. */
  public enum State {
    /** The share is being raised. */
    RUNNING,
    /** The new version carries all traffic; the old one is kept. */
    SOAKING,
    /** The move is complete. */
    FINISHED,
    /** The old version carries all traffic again. */
    ROLLED_BACK
  }
}
