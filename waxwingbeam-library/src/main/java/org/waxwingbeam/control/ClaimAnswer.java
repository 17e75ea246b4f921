package org.waxwingbeam.control;

/**
 * Tells what becomes of a request that claims an idempotency key.
 *
 * @since 0.1.0
 */
public sealed interface ClaimAnswer {
  /** The request may be sent out once. */
  record Granted() implements ClaimAnswer {}

  /**
   * The request ran before and its answer was kept.
   *
   * @param answer the kept answer
   */
  record Recorded(RecordedAnswer answer) implements ClaimAnswer {}

  /** The request is running now. */
  record AlreadyRunning() implements ClaimAnswer {}

  /** The request ran before and its answer was not kept. */
  record AlreadyRun() implements ClaimAnswer {}

  /** The request may have run; its outcome was lost. */
  record OutcomeUnknown() implements ClaimAnswer {}

  /** The key was used before for another request. */
  record KeyReused() implements ClaimAnswer {}

  /** The control log gave no answer in time; the request may not be sent out. */
  record Unavailable() implements ClaimAnswer {}
}
