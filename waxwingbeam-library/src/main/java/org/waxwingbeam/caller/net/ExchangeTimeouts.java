package org.waxwingbeam.caller.net;

import org.waxwingbeam.caller.RoutePolicy;
import org.waxwingbeam.model.Parameter;

/**
 * The time limits of an exchange. Times are in nanoseconds of the entry instance's monotonic clock.
 */
final class ExchangeTimeouts {
  /** The time limit that an exchange has exceeded. */
  enum Violation {
    /** No limit is exceeded. */
    NONE,
    /** The head of the response did not arrive before the deadline. */
    HEAD_DEADLINE,
    /** The upload of a transfer stalled or exceeded its total duration. */
    REQUEST_STALLED,
    /** No part of the response body was transferred within the idle limit. */
    ANSWER_STALLED,
    /** The response is not complete after the total duration allowed. */
    ANSWER_TOO_LONG
  }

  private static final long NANOS_PER_MS = 1_000_000;

  /** Time after the deadline in which a response that has begun by then may be completed. */
  private static final long COMPLETION_GRACE_NANOS = 200 * NANOS_PER_MS;

  private final boolean transfer;
  private final long headTimeoutNanos;
  private final long idleTimeoutNanos;
  private final long totalTimeoutNanos;
  private final long responseTimeoutNanos;
  private final long startNanos;

  private long headDeadlineNanos;
  private long lastProgressNanos;
  private boolean requestComplete;
  private boolean responseStarted;

  ExchangeTimeouts(RoutePolicy policy, RequestMetadata metadata, long nowNanos) {
    transfer = policy.transfer();
    headTimeoutNanos = headTimeoutNanos(policy, metadata);
    idleTimeoutNanos = policy.value(Parameter.TRANSFER_IDLE) * NANOS_PER_MS;
    totalTimeoutNanos = policy.value(Parameter.TRANSFER_TOTAL) * NANOS_PER_MS;
    responseTimeoutNanos =
        transfer
            ? totalTimeoutNanos
            : policy.value(Parameter.DEADLINE) * NANOS_PER_MS + COMPLETION_GRACE_NANOS;
    startNanos = nowNanos;
    lastProgressNanos = nowNanos;
    headDeadlineNanos = nowNanos + headTimeoutNanos;
  }

  /** Returns the longest time until the head of the response, by the route and the caller. */
  static long headTimeoutNanos(RoutePolicy policy, RequestMetadata metadata) {
    long deadlineMs = policy.value(Parameter.DEADLINE);
    return Math.min(deadlineMs, metadata.deadlineMs().orElse(deadlineMs)) * NANOS_PER_MS;
  }

  /** Returns when the request arrived. */
  long startNanos() {
    return startNanos;
  }

  long headDeadlineNanos() {
    return headDeadlineNanos;
  }

  /**
   * Returns the time left until the head of the response must arrive. While the body of a transfer
   * is still being uploaded, this is the full time allowed.
   */
  long headTimeLeftNanos(long nowNanos) {
    return transfer && !requestComplete ? headTimeoutNanos : headDeadlineNanos - nowNanos;
  }

  /** Records that the complete request has arrived. The deadline of a transfer starts now. */
  void onRequestComplete(long nowNanos) {
    if (transfer && !requestComplete) {
      headDeadlineNanos = nowNanos + headTimeoutNanos;
    }
    requestComplete = true;
    lastProgressNanos = nowNanos;
  }

  /** Records that the head of the response has arrived. */
  void onResponseHead(long nowNanos) {
    responseStarted = true;
    lastProgressNanos = nowNanos;
  }

  /** Records that bytes have been transferred. */
  void onProgress(long nowNanos) {
    lastProgressNanos = nowNanos;
  }

  /** Returns when the next limit is exceeded if nothing happens before. */
  long nextLimitNanos() {
    long stallNanos = lastProgressNanos + idleTimeoutNanos;
    if (responseStarted) {
      return Math.min(stallNanos, startNanos + responseTimeoutNanos) + 1;
    }
    return transfer && !requestComplete
        ? Math.min(stallNanos, startNanos + totalTimeoutNanos) + 1
        : headDeadlineNanos;
  }

  /** Returns the limit that is exceeded now. */
  Violation violation(long nowNanos) {
    boolean stalled = nowNanos - lastProgressNanos > idleTimeoutNanos;
    if (responseStarted) {
      return responseViolation(nowNanos, stalled);
    }
    if (transfer && !requestComplete) {
      return stalled || nowNanos - startNanos > totalTimeoutNanos
          ? Violation.REQUEST_STALLED
          : Violation.NONE;
    }
    return nowNanos - headDeadlineNanos >= 0 ? Violation.HEAD_DEADLINE : Violation.NONE;
  }

  private Violation responseViolation(long nowNanos, boolean stalled) {
    if (stalled) {
      return Violation.ANSWER_STALLED;
    }
    return nowNanos - startNanos > responseTimeoutNanos
        ? Violation.ANSWER_TOO_LONG
        : Violation.NONE;
  }
}
