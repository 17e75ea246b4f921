package org.waxwingbeam.control;

/**
 * Tells what becomes of a request that claims an idempotency key.
 *
 * @since 0.1.0
 */
public sealed interface ClaimResponse {
  /** The request may be sent out once. */
  record Granted() implements ClaimResponse {}

  /**
   * The request ran before and its answer was kept.
   *
   * @param response the kept answer
   */
  record Recorded(RecordedResponse response) implements ClaimResponse {}

  /** The request is running now. */
  record AlreadyRunning() implements ClaimResponse {}

  /** The request ran before and its answer was not kept. */
  record AlreadyRun() implements ClaimResponse {}

  /** The request may have run; its outcome was lost. */
  record OutcomeUnknown() implements ClaimResponse {}

  /** The key was used before for another request. */
  record KeyReused() implements ClaimResponse {}

  /** The control log gave no answer in time; the request may not be sent out. */
  record Unavailable() implements ClaimResponse {}
}
