package org.waxwingbeam.caller.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates the ids of requests and attempts for one run of an entry instance.
 *
 * @since 0.1.0
 */
public final class RequestIds {
  private static final int ATTEMPT_BITS = 20;

  private final String prefix;
  private final AtomicLong requests = new AtomicLong();
  private final AtomicLong attempts;

  /**
   * Creates a generator.
   *
   * @param prefix the prefix of request ids, unique for each run of each entry instance
   * @param startMs when the entry instance started, in milliseconds since the epoch; makes attempt
   *     ids of a later run greater than those of an earlier one
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
