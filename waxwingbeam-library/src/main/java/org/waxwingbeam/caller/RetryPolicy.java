package org.waxwingbeam.caller;

/**
 * Decides whether a request whose attempt failed is sent again.
 *
 * <p>What may have run is sent again only if it is idempotent. Nothing is sent again once the
 * answer has begun, nor if the request arrived as a retry of an upstream sender, so that retries do
 * not multiply along a path of several calls.
 *
 * @since 0.1.0
 */
public final class RetryPolicy {
  private RetryPolicy() {}

  /** Returns whether a request may be sent to a further target. */
  public static boolean mayRetry(AttemptFailure failure, RequestProgress progress) {
    return mayAttempt(progress) && (!failure.mayHaveRun() || progress.idempotent());
  }

  /** Returns whether a request may be sent to a second target while the first is at work. */
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
   * Tells how far a request has come.
   *
   * @param idempotent whether it may run twice
   * @param attempts targets that it was sent to
   * @param maxAttempts the most targets that it may be sent to
   * @param responseStarted whether the answer's head has gone to the caller
   * @param bodyReplayable whether the whole of the body so far can be sent again
   * @param retriedByCaller whether its sender has sent it before
   */
  public record RequestProgress(
      boolean idempotent,
      int attempts,
      int maxAttempts,
      boolean responseStarted,
      boolean bodyReplayable,
      boolean retriedByCaller) {}
}
