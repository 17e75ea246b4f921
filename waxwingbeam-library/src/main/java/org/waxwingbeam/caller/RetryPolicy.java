package org.waxwingbeam.caller;

/**
 * Decides whether a request is sent to a further target.
 *
 * <p>A request that may have run is retried only if it is idempotent. No request is retried once a
 * part of the response has been sent to the caller, nor if the request arrived as a retry, so that
 * retries do not multiply along a chain of calls.
 *
 * @since 0.1.0
 */
public final class RetryPolicy {
  private RetryPolicy() {}

  /** Returns whether a request may be retried at another target after a failed attempt. */
  public static boolean mayRetry(AttemptFailure failure, RequestProgress progress) {
    return mayAttempt(progress) && (!failure.mayHaveRun() || progress.idempotent());
  }

  /** Returns whether a request may be sent to a second target while the first still runs it. */
  public static boolean mayHedge(RequestProgress progress) {
    return mayAttempt(progress) && progress.idempotent();
  }

  private static boolean mayAttempt(RequestProgress progress) {
    return !progress.responseStarted()
        && progress.bodyReplayable()
        && !progress.retriedByCaller()
        && progress.attempts() < progress.maxAttempts();
  }

  /**
   * The state of a request that decides whether it may be retried.
   *
   * @param idempotent whether the request may run more than once
   * @param attempts the number of attempts so far
   * @param maxAttempts the maximum number of attempts
   * @param responseStarted whether the head of a response has been sent to the caller
   * @param bodyReplayable whether everything received of the body can be sent again
   * @param retriedByCaller whether the request arrived as a retry by the caller
   */
  public record RequestProgress(
      boolean idempotent,
      int attempts,
      int maxAttempts,
      boolean responseStarted,
      boolean bodyReplayable,
      boolean retriedByCaller) {}
}
