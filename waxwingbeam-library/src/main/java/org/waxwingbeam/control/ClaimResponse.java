package org.waxwingbeam.control;

/**
 * The result of claiming an idempotency key for a request.
 *
 * @since 0.1.0
 */
public sealed interface ClaimResponse {
  /** The key is claimed; the request may be sent to a target once. */
  record Granted() implements ClaimResponse {}

  /**
   * The request ran before and its response was recorded.
   *
   * @param response the recorded response
   */
  record Recorded(RecordedResponse response) implements ClaimResponse {}

  /** A request with this key is running now. */
  record AlreadyRunning() implements ClaimResponse {}

  /** The request ran before and its response was not recorded. */
  record AlreadyRun() implements ClaimResponse {}

  /** The request may have run; its outcome is unknown. */
  record OutcomeUnknown() implements ClaimResponse {}

  /** The key was used before for another request. */
  record KeyReused() implements ClaimResponse {}

  /** The control log did not reply in time; the request must not be sent to a target. */
  record Unavailable() implements ClaimResponse {}
}
