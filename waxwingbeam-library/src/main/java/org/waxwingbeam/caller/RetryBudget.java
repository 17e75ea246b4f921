package org.waxwingbeam.caller;

/**
 * Limits the retries and hedges of one service at an entry instance.
 *
 * @since 0.1.0
 */
public sealed interface RetryBudget permits SuccessRatioBudget, SlidingWindowBudget {
  /**
   * Records a request from a caller.
   *
   * @param nowNanos when it arrived
   */
  void onRequest(long nowNanos);

  /**
   * Records a successful request.
   *
   * @param percent the number of retries allowed for each hundred successes
   */
  void onSuccess(long percent);

  /**
   * Takes one retry of a failed attempt from the budget, or returns false if none is left.
   *
   * @param nowNanos the current time
   */
  boolean tryAcquire(long nowNanos);

  /**
   * Takes one hedge from the budget, or returns false if what is left is reserved for failed
   * attempts: without a retry those fail for certain, a slow one may still succeed.
   *
   * @param nowNanos the current time
   */
  boolean tryAcquireHedge(long nowNanos);
}
