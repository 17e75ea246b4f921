package org.waxwingbeam.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Outlier detection for one target, based on the outcomes of this entry instance's attempts.
 *
 * <p>A target that fails repeatedly or is much slower than the service's median is ejected for a
 * time that doubles with each relapse. After that it gets one trial request at a time until several
 * in a row have succeeded. A failed request counts as outstanding until a typical response would
 * have arrived, so that a target that fails fast does not attract requests.
 */
final class TargetHealth {
  private static final int FAILURES_TO_EJECT = 3;
  private static final int SLOW_RESPONSES_TO_EJECT = 3;
  private static final int TRIALS_TO_RECOVER = 3;
  private static final double SLOW_FACTOR = 6;
  private static final long FIRST_EJECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final int MAX_DOUBLINGS = 5;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Deque<Long> countedUntilNanos = new ArrayDeque<>();
  private int failuresInRow;
  private int slowInRow;
  private int relapses;
  private int trialsLeft;
  private long ejectedUntilNanos = NEVER;

  /**
   * Records the outcome of an attempt.
   *
   * @param latencyNanos time to its end
   * @param typicalNanos the service's median latency, 0 if it is not known
   */
  void recordOutcome(
      long nowNanos, AttemptOutcome outcome, double latencyNanos, double typicalNanos) {
    switch (outcome) {
      case SUCCESS -> recordResponse(nowNanos, latencyNanos, typicalNanos);
      case FAILURE, CONNECT_FAILED, CONNECTION_LOST, REFUSED_OVERLOADED -> {
        countAsOutstanding(nowNanos, latencyNanos, typicalNanos);
        recordFailure(nowNanos);
      }
      case TIMED_OUT -> recordSlow(nowNanos);
      case REFUSED_COLD, REFUSED_DRAINING, REFUSED_WRONG_TARGET ->
          countAsOutstanding(nowNanos, latencyNanos, typicalNanos);
      default -> {} // a cancelled attempt is no sign of health or failure
    }
  }

  /** Returns whether the target is ejected or gets only trial requests. */
  boolean isSuspect(long nowNanos) {
    return trialsLeft > 0 || nowNanos < ejectedUntilNanos;
  }

  /** Returns whether a suspect target may get a trial request now. */
  boolean allowsTrial(long nowNanos) {
    return nowNanos >= ejectedUntilNanos;
  }

  /** Returns the number of failed requests that still count as outstanding. */
  int countedFailures(long nowNanos) {
    while (!countedUntilNanos.isEmpty() && countedUntilNanos.peekFirst() <= nowNanos) {
      countedUntilNanos.removeFirst();
    }
    return countedUntilNanos.size();
  }

  private void countAsOutstanding(long nowNanos, double latencyNanos, double typicalNanos) {
    long until = nowNanos + (long) Math.max(0, typicalNanos - latencyNanos);
    countedUntilNanos.addLast(
        Math.max(until, countedUntilNanos.isEmpty() ? until : countedUntilNanos.peekLast()));
  }

  private void recordResponse(long nowNanos, double latencyNanos, double typicalNanos) {
    failuresInRow = 0;
    if (typicalNanos > 0 && latencyNanos > SLOW_FACTOR * typicalNanos) {
      recordSlow(nowNanos);
      return;
    }
    slowInRow = 0;
    if (trialsLeft > 0) {
      trialsLeft--;
    } else if (relapses > 0 && nowNanos - ejectedUntilNanos > FIRST_EJECTION_NANOS << relapses) {
      relapses--;
    }
  }

  private void recordSlow(long nowNanos) {
    slowInRow++;
    if (slowInRow >= SLOW_RESPONSES_TO_EJECT || trialsLeft > 0) {
      eject(nowNanos);
    }
  }

  private void recordFailure(long nowNanos) {
    failuresInRow++;
    if (failuresInRow >= FAILURES_TO_EJECT || trialsLeft > 0) {
      eject(nowNanos);
    }
  }

  private void eject(long nowNanos) {
    if (nowNanos < ejectedUntilNanos) {
      return;
    }
    ejectedUntilNanos = nowNanos + (FIRST_EJECTION_NANOS << relapses);
    relapses = Math.min(relapses + 1, MAX_DOUBLINGS);
    trialsLeft = TRIALS_TO_RECOVER;
    failuresInRow = 0;
    slowInRow = 0;
  }
}
