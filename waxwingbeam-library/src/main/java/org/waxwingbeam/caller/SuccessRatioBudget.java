package org.waxwingbeam.caller;

/**
 * Limits retries and hedges to a share of the successes.
 *
 * @since 0.1.0
 */
public final class SuccessRatioBudget implements RetryBudget {
  private static final long WHOLE_RETRY = 100;
  private static final long MAX_SAVED_RETRIES = 20;

  private long balance = MAX_SAVED_RETRIES * WHOLE_RETRY;

  /** Creates a budget with everything saved that can be. */
  public SuccessRatioBudget() {}

  @Override
  public void onRequest(long nowNanos) {}

  @Override
  public synchronized void onSuccess(long percent) {
    balance = Math.min(balance + percent, MAX_SAVED_RETRIES * WHOLE_RETRY);
  }

  @Override
  public synchronized boolean tryAcquire(long nowNanos) {
    if (balance < WHOLE_RETRY) {
      return false;
    }
    balance -= WHOLE_RETRY;
    return true;
  }
}
