package org.waxwingbeam.caller;

/**
 * Limits retries and hedges to a share of the successful requests. Works as a token bucket that
 * each success refills.
 *
 * @since 0.1.0
 */
public final class SuccessRatioBudget implements RetryBudget {
  /** The balance is counted in hundredths of a retry, so that a success adds its percentage. */
  private static final long RETRY_COST = 100;

  private static final long MAX_RETRIES = 20;

  private long balance = MAX_RETRIES * RETRY_COST;

  /** Creates a budget that is full. */
  public SuccessRatioBudget() {}

  @Override
  public void onRequest(long nowNanos) {}

  @Override
  public synchronized void onSuccess(long percent) {
    balance = Math.min(balance + percent, MAX_RETRIES * RETRY_COST);
  }

  @Override
  public boolean tryAcquireHedge(long nowNanos) {
    return tryAcquire(nowNanos);
  }

  @Override
  public synchronized boolean tryAcquire(long nowNanos) {
    if (balance < RETRY_COST) {
      return false;
    }
    balance -= RETRY_COST;
    return true;
  }
}
