package org.waxwingbeam.caller.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Numbers the requests and attempts of one run of an entry instance.
 *
 * @since 0.1.0
 */
public final class RequestIds {
  private static final int ATTEMPT_BITS = 20;

  private final String prefix;
  private final AtomicLong requests = new AtomicLong();
  private final AtomicLong attempts;

  /**
   * Starts counting.
   *
   * @param prefix differs between entry instances and between their runs
   * @param startMs when the entry instance started, in milliseconds since the epoch; attempts of a
   *     later run are numbered above those of an earlier one
   */
  public RequestIds(String prefix, long startMs) {
    this.prefix = prefix;
    this.attempts = new AtomicLong(startMs << ATTEMPT_BITS);
  }

  String nextRequest() {
    return prefix + Long.toHexString(requests.incrementAndGet());
  }

  long nextAttempt() {
    return attempts.incrementAndGet();
  }
}
