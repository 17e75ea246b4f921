package org.waxwingbeam.target.placement;

import java.util.concurrent.TimeUnit;

/**
 * Limits the status checks that one entry instance sends to one target for requests. Requests come
 * in bursts, so the limit holds for the average over more than a second.
 */
final class CheckBudget {
  /** Time by which checks may be ahead of the average rate. */
  private static final long BURST_NANOS = TimeUnit.SECONDS.toNanos(1);

  private boolean used;
  private long nextNanos;

  /** Returns whether a check may be sent. */
  boolean allows(long nowNanos) {
    return !used || nextNanos - nowNanos <= BURST_NANOS;
  }

  /**
   * Records that a check is sent.
   *
   * @param intervalNanos average time between two checks
   */
  void record(long nowNanos, long intervalNanos) {
    boolean behind = !used || nextNanos - nowNanos < 0;
    nextNanos = (behind ? nowNanos : nextNanos) + intervalNanos;
    used = true;
  }
}
