package org.waxwingbeam.target.version;

import org.waxwingbeam.model.VersionMove;

/**
 * Schedules the share of a new version during a move. A good version receives all traffic by the
 * deadline, and an unproven version keeps its small share for as long as the deadline allows.
 *
 * @since 0.1.0
 */
public final class RampSchedule {
  private static final int[] RAMP_PER_MILLE = {100, 250, 500, 1_000};
  private static final double TRIAL_FRACTION = 0.7;
  private static final double STEP_FRACTION = 0.05;
  private static final long LATEST_FINISH_MARGIN_MS = 1_000;

  private final VersionMove move;
  private final int unprovenPerMille;

  /**
   * Creates the schedule of a move.
   *
   * @param move the move
   * @param unprovenPerMille maximum share while the version is unproven, per mille
   */
  public RampSchedule(VersionMove move, int unprovenPerMille) {
    this.move = move;
    this.unprovenPerMille = unprovenPerMille;
  }

  /** Returns the share while the version is unproven, per mille. */
  public int unprovenShare() {
    return unprovenPerMille;
  }

  /** Returns when the share may rise above the unproven share, in milliseconds since the epoch. */
  public long rampStartMs() {
    return move.startMs() + (long) (TRIAL_FRACTION * durationMs());
  }

  /**
   * Returns the share that a proven version may have.
   *
   * @param nowMs the time, in milliseconds since the epoch
   * @param share the current share, per mille
   * @param sinceMs when the current share was set, in milliseconds since the epoch
   */
  public int provenShare(long nowMs, int share, long sinceMs) {
    int next = nextStep(share);
    long dwellMs = Math.min((long) (STEP_FRACTION * durationMs()), maxDwellMs(nowMs, share));
    boolean due = nowMs >= rampStartMs() && nowMs - sinceMs >= dwellMs;
    return due ? next : share;
  }

  private long maxDwellMs(long nowMs, int share) {
    long remainingSteps = 0;
    for (int step : RAMP_PER_MILLE) {
      remainingSteps += step > share ? 1 : 0;
    }
    long leftMs = Math.max(0, move.deadlineMs() - LATEST_FINISH_MARGIN_MS - nowMs);
    return leftMs / Math.max(1, remainingSteps);
  }

  private static int nextStep(int share) {
    for (int step : RAMP_PER_MILLE) {
      if (step > share) {
        return step;
      }
    }
    return share;
  }

  private long durationMs() {
    return move.deadlineMs() - move.startMs();
  }
}
