package org.waxwingbeam.caller.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Numbers the requests and attempts of one run of an entry instance.
 *
 * @since 0.1.0
 */
public final class RequestIds {
  private final String prefix;
  private final AtomicLong requests = new AtomicLong();
  private final AtomicLong attempts = new AtomicLong();

  /**
   * Starts counting.
   *
   * @param prefix differs between entry instances and between their runs
   */
  public RequestIds(String prefix) {
    this.prefix = prefix;
  }

  String nextRequest() {
    return prefix + Long.toHexString(requests.incrementAndGet());
  }

  long nextAttempt() {
    return attempts.incrementAndGet();
  }
}
