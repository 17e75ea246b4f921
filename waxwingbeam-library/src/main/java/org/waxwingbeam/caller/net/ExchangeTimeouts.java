package org.waxwingbeam.caller.net;

import org.waxwingbeam.caller.RoutePolicy;
import org.waxwingbeam.model.Parameter;

/**
 * Tells when an exchange has taken too long. Times are in nanoseconds of the entry's monotonic
 * clock.
 */
final class ExchangeTimeouts {
  /** The limit that an exchange has broken. */
  enum Violation {
    /** No limit. */
    NONE,
    /** The answer's head has not arrived before the deadline. */
    HEAD_DEADLINE,
    /** The request's body has not moved for too long. */
    REQUEST_STALLED,
    /** The answer's body has not moved for too long. */
    ANSWER_STALLED,
    /** The transfer takes too long as a whole. */
    ANSWER_TOO_LONG
  }

  private static final long NANOS_PER_MS = 1_000_000;

  private final boolean transfer;
  private final long allowedToHeadNanos;
  private final long idleNanos;
  private final long totalNanos;
  private final long startNanos;

  private long headDeadlineNanos;
  private long progressNanos;
  private boolean requestWhole;
  private boolean responseStarted;

  ExchangeTimeouts(RoutePolicy terms, RequestMetadata mark, long nowNanos) {
    long deadlineMs = terms.value(Parameter.DEADLINE);
    transfer = terms.transfer();
    allowedToHeadNanos = Math.min(deadlineMs, mark.deadlineMs().orElse(deadlineMs)) * NANOS_PER_MS;
    idleNanos = terms.value(Parameter.TRANSFER_IDLE) * NANOS_PER_MS;
    totalNanos = terms.value(Parameter.TRANSFER_TOTAL) * NANOS_PER_MS;
    startNanos = nowNanos;
    progressNanos = nowNanos;
    headDeadlineNanos = nowNanos + allowedToHeadNanos;
  }

  /** Returns when the request arrived. */
  long startNanos() {
    return startNanos;
  }

  long headDeadlineNanos() {
    return headDeadlineNanos;
  }

  /** Returns the time left to the answer's head; an unfinished transfer has all of it. */
  long headLeftNanos(long nowNanos) {
    return transfer && !requestWhole ? allowedToHeadNanos : headDeadlineNanos - nowNanos;
  }

  /** Notes that the request has arrived whole. A transfer's deadline counts from here. */
  void onRequestWhole(long nowNanos) {
    if (transfer && !requestWhole) {
      headDeadlineNanos = nowNanos + allowedToHeadNanos;
    }
    requestWhole = true;
    progressNanos = nowNanos;
  }

  /** Notes that the answer's head has arrived. */
  void onResponseHead(long nowNanos) {
    responseStarted = true;
    progressNanos = nowNanos;
  }

  /** Notes that bytes have moved. */
  void onProgress(long nowNanos) {
    progressNanos = nowNanos;
  }

  /** Returns the limit that is broken now. */
  Violation broken(long nowNanos) {
    boolean stalled = nowNanos - progressNanos > idleNanos;
    if (responseStarted) {
      return responseViolation(nowNanos, stalled);
    }
    if (transfer && !requestWhole) {
      return stalled || nowNanos - startNanos > totalNanos
          ? Violation.REQUEST_STALLED
          : Violation.NONE;
    }
    return nowNanos - headDeadlineNanos >= 0 ? Violation.HEAD_DEADLINE : Violation.NONE;
  }

  private Violation responseViolation(long nowNanos, boolean stalled) {
    if (stalled) {
      return Violation.ANSWER_STALLED;
    }
    return transfer && nowNanos - startNanos > totalNanos
        ? Violation.ANSWER_TOO_LONG
        : Violation.NONE;
  }
}
