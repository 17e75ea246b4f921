package org.waxwingbeam.caller;

/**
 * Limits retries and hedges of one service to a share of its successes. Callers serialize access.
 *
 * @since 0.1.0
 */
public final class RetryBudget {
  private static final long WHOLE_RETRY = 100;
  private static final long MAX_SAVED_RETRIES = 20;

  private long balance = MAX_SAVED_RETRIES * WHOLE_RETRY;

  /**
   * Notes a success.
   *
   * @param percent retries that a hundred successes allow
   */
  public synchronized void onSuccess(long percent) {
    balance = Math.min(balance + percent, MAX_SAVED_RETRIES * WHOLE_RETRY);
  }

  /** Spends one retry, or returns false if none is left. */
  public synchronized boolean spend() {
    if (balance < WHOLE_RETRY) {
      return false;
    }
    balance -= WHOLE_RETRY;
    return true;
  }
}
