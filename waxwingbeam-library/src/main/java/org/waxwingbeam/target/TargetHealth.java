package org.waxwingbeam.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Judges one target by the answers that it gave to this entry instance.
 *
 * <p>A target that fails or is much slower than the service is ejected for a time that doubles with
 * each relapse. Afterwards it gets one request at a time until a few in a row have gone well. A
 * failure keeps its place for as long as an answer would have taken, so that failing fast attracts
 * no requests.
 */
final class TargetHealth {
  private static final int FAILURES_TO_EJECT = 3;
  private static final int SLOW_RESPONSES_TO_EJECT = 3;
  private static final int TRIALS_TO_RECOVER = 3;
  private static final double SLOW_FACTOR = 6;
  private static final long FIRST_EJECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final int MOST_DOUBLINGS = 5;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Deque<Long> heldUntil = new ArrayDeque<>();
  private int failuresInRow;
  private int slowInRow;
  private int relapses;
  private int trialsLeft;
  private long ejectedUntil = NEVER;

  /**
   * Notes the end of an attempt.
   *
   * @param latencyNanos time to its end
   * @param typicalNanos the service's median latency, 0 if it is not known
   */
  void note(long nowNanos, AttemptOutcome outcome, double latencyNanos, double typicalNanos) {
    switch (outcome) {
      case SUCCESS -> recordResponse(nowNanos, latencyNanos, typicalNanos);
      case FAILURE, CONNECT_FAILED, CONNECTION_LOST, REFUSED_OVERLOADED -> {
        hold(nowNanos, latencyNanos, typicalNanos);
        noteFailure(nowNanos);
      }
      case TIMED_OUT -> noteSlow(nowNanos);
      case REFUSED_COLD, REFUSED_DRAINING, REFUSED_WRONG_TARGET ->
          hold(nowNanos, latencyNanos, typicalNanos);
      default -> {} // a cancelled attempt tells nothing
    }
  }

  /** Returns whether the target is to get nothing but trials, or nothing at all. */
  boolean isSuspect(long nowNanos) {
    return trialsLeft > 0 || nowNanos < ejectedUntil;
  }

  /** Returns whether a target that is suspect may get a trial now. */
  boolean allowsTrial(long nowNanos) {
    return nowNanos >= ejectedUntil;
  }

  /** Returns the places that are held for requests that failed early. */
  int held(long nowNanos) {
    while (!heldUntil.isEmpty() && heldUntil.peekFirst() <= nowNanos) {
      heldUntil.removeFirst();
    }
    return heldUntil.size();
  }

  private void hold(long nowNanos, double latencyNanos, double typicalNanos) {
    long until = nowNanos + (long) Math.max(0, typicalNanos - latencyNanos);
    heldUntil.addLast(Math.max(until, heldUntil.isEmpty() ? until : heldUntil.peekLast()));
  }

  private void recordResponse(long nowNanos, double latencyNanos, double typicalNanos) {
    failuresInRow = 0;
    if (typicalNanos > 0 && latencyNanos > SLOW_FACTOR * typicalNanos) {
      noteSlow(nowNanos);
      return;
    }
    slowInRow = 0;
    if (trialsLeft > 0) {
      trialsLeft--;
    } else if (relapses > 0 && nowNanos - ejectedUntil > FIRST_EJECTION_NANOS << relapses) {
      relapses--;
    }
  }

  private void noteSlow(long nowNanos) {
    slowInRow++;
    if (slowInRow >= SLOW_RESPONSES_TO_EJECT || trialsLeft > 0) {
      eject(nowNanos);
    }
  }

  private void noteFailure(long nowNanos) {
    failuresInRow++;
    if (failuresInRow >= FAILURES_TO_EJECT || trialsLeft > 0) {
      eject(nowNanos);
    }
  }

  private void eject(long nowNanos) {
    if (nowNanos < ejectedUntil) {
      return;
    }
    ejectedUntil = nowNanos + (FIRST_EJECTION_NANOS << relapses);
    relapses = Math.min(relapses + 1, MOST_DOUBLINGS);
    trialsLeft = TRIALS_TO_RECOVER;
    failuresInRow = 0;
    slowInRow = 0;
  }
}
