package org.waxwingbeam.target.placement;

import java.util.concurrent.TimeUnit;
import org.waxwingbeam.target.AttemptOutcome;

/**
 * Tells whether a target may be used, from how recent attempts ended there. A target whose
 * connections fail is left alone for a time that doubles with each failure in a row.
 */
final class FailureTracker {
  /** First time for which a target that failed is left alone. */
  private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Longest such time; a target that returns must be found again within seconds. */
  private static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int MAX_DOUBLINGS = 3;

  /** Weight of the newest answer in the share of answers that were failures. */
  private static final double FAILURE_SHARE_WEIGHT = 0.15;

  private int failuresInRow;
  private long pausedUntilNanos;
  private boolean paused;
  private boolean unreachable;
  private double failureShare;

  /**
   * Takes in how an attempt ended.
   *
   * @param nowNanos the present time
   * @param outcome how it ended
   */
  void note(long nowNanos, AttemptOutcome outcome) {
    switch (outcome) {
      case SUCCESS -> restore(0);
      case FAILURE -> restore(1);
      case CONNECT_FAILED -> {
        unreachable = true;
        pause(nowNanos);
      }
      case CONNECTION_LOST -> {
        failureShare += FAILURE_SHARE_WEIGHT * (1 - failureShare);
        if (failuresInRow > 0) {
          pause(nowNanos);
        }
        failuresInRow++;
      }
      case TIMED_OUT -> {
        failureShare += FAILURE_SHARE_WEIGHT * (1 - failureShare);
        failuresInRow++;
        if (failuresInRow > 2) {
          pause(nowNanos);
        }
      }
      default -> {
        // A refusal or a caller that has left says nothing of the target.
      }
    }
  }

  /** Notes that the target has not answered a status check; a trial is made again later. */
  void recordNoResponse(long nowNanos) {
    if (paused) {
      pause(nowNanos);
    }
  }

  private void restore(double failed) {
    failuresInRow = 0;
    paused = false;
    failureShare += FAILURE_SHARE_WEIGHT * (failed - failureShare);
  }

  private void pause(long nowNanos) {
    int doublings = Math.min(MAX_DOUBLINGS, failuresInRow);
    paused = true;
    pausedUntilNanos = nowNanos + Math.min(MAX_PAUSE_NANOS, FIRST_PAUSE_NANOS << doublings);
    failuresInRow++;
  }

  /**
   * Returns whether the target may be used now.
   *
   * @param checked whether status checks find out that a target has come back, so that no request
   *     needs to be risked for it
   */
  boolean isUsable(long nowNanos, boolean checked) {
    return !paused || (!checked && isPauseOver(nowNanos));
  }

  /** Returns whether the target was left alone and may be tried again. */
  boolean isTrialDue(long nowNanos) {
    return paused && isPauseOver(nowNanos);
  }

  private boolean isPauseOver(long nowNanos) {
    return nowNanos - pausedUntilNanos >= 0;
  }

  /** Notes that the target has answered a status check, so that it can be reached. */
  void noteReached() {
    paused = false;
  }

  /** Returns when the pause ends or has ended. */
  long pausedUntilNanos() {
    return pausedUntilNanos;
  }

  /** Returns the share of recent answers that were failures, from 0 to 1. */
  double failureShare() {
    return failureShare;
  }

  /** Returns once whether connections could not be opened since the last call. */
  boolean takeUnreachable() {
    boolean taken = unreachable;
    unreachable = false;
    return taken;
  }
}
