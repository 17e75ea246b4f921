package org.waxwingbeam.target.placement;

import java.util.concurrent.TimeUnit;
import org.waxwingbeam.target.AttemptOutcome;

/**
 * Decides from the results of recent attempts whether a target may be used. A target whose
 * connections fail is paused for a time that doubles with each consecutive failure.
 */
final class FailureTracker {
  /** Shortest pause; it doubles with each consecutive failure. */
  private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Longest pause, so that a target that has recovered is used again within seconds. */
  private static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int MAX_DOUBLINGS = 3;

  /** Consecutive time-outs that do not pause a target yet: single slow responses are usual. */
  private static final int TOLERATED_TIMEOUTS = 2;

  /** Weight of the latest response in the moving average of the failure share. */
  private static final double FAILURE_SHARE_WEIGHT = 0.15;

  private int consecutiveFailures;
  private long pausedUntilNanos;
  private boolean paused;
  private boolean unreachable;
  private double failureShare;

  /**
   * Records the outcome of an attempt.
   *
   * @param nowNanos the current time
   * @param outcome the outcome
   */
  void recordOutcome(long nowNanos, AttemptOutcome outcome) {
    switch (outcome) {
      case SUCCESS -> recordResponse(0);
      case FAILURE -> recordResponse(1);
      case CONNECT_FAILED -> {
        unreachable = true;
        pause(nowNanos);
      }
      case CONNECTION_LOST -> {
        failureShare += FAILURE_SHARE_WEIGHT * (1 - failureShare);
        if (consecutiveFailures > 0) {
          pause(nowNanos);
        }
        consecutiveFailures++;
      }
      case TIMED_OUT -> {
        failureShare += FAILURE_SHARE_WEIGHT * (1 - failureShare);
        consecutiveFailures++;
        if (consecutiveFailures > TOLERATED_TIMEOUTS) {
          pause(nowNanos);
        }
      }
      default -> {
        // A refusal or a cancellation says nothing about the health of the target.
      }
    }
  }

  /** Records that a status check got no valid response. A paused target is paused again. */
  void recordNoResponse(long nowNanos) {
    if (paused) {
      pause(nowNanos);
    }
  }

  private void recordResponse(double failed) {
    consecutiveFailures = 0;
    paused = false;
    failureShare += FAILURE_SHARE_WEIGHT * (failed - failureShare);
  }

  private void pause(long nowNanos) {
    int doublings = Math.min(MAX_DOUBLINGS, consecutiveFailures);
    paused = true;
    pausedUntilNanos = nowNanos + Math.min(MAX_PAUSE_NANOS, FIRST_PAUSE_NANOS << doublings);
    consecutiveFailures++;
  }

  /**
   * Returns whether the target may be used now.
   *
   * @param hasStatusChecks whether status checks detect that a target has recovered, so that no
   *     request has to be used as a trial
   */
  boolean isUsable(long nowNanos, boolean hasStatusChecks) {
    return !paused || (!hasStatusChecks && isPauseOver(nowNanos));
  }

  /** Returns whether the target is paused and the pause has elapsed. */
  boolean isTrialDue(long nowNanos) {
    return paused && isPauseOver(nowNanos);
  }

  private boolean isPauseOver(long nowNanos) {
    return nowNanos - pausedUntilNanos >= 0;
  }

  /** Ends the pause because the target has responded to a status check. */
  void endPause() {
    paused = false;
  }

  /** Returns the end of the latest pause. */
  long pausedUntilNanos() {
    return pausedUntilNanos;
  }

  /** Returns the share of failures among recent responses, from 0 to 1. */
  double failureShare() {
    return failureShare;
  }

  /** Returns whether a connection could not be opened since the last call, and resets it. */
  boolean takeUnreachable() {
    boolean taken = unreachable;
    unreachable = false;
    return taken;
  }
}
