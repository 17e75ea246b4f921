package org.waxwingbeam.caller;

/**
 * Limits the retries and hedges of one service at an entry instance.
 *
 * @since 0.1.0
 */
public sealed interface RetryBudget permits SuccessRatioBudget, SlidingWindowBudget {
  /**
   * Notes a request of a caller.
   *
   * @param nowNanos when it arrived
   */
  void onRequest(long nowNanos);

  /**
   * Notes a success.
   *
   * @param percent retries that a hundred successes allow
   */
  void onSuccess(long percent);

  /**
   * Spends one retry, or returns false if none is left.
   *
   * @param nowNanos the present time
   */
  boolean tryAcquire(long nowNanos);
}
