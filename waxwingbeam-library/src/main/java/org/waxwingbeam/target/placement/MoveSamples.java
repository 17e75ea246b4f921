package org.waxwingbeam.target.placement;

import java.util.Optional;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.wire.feed.VersionCounts;
import org.waxwingbeam.wire.feed.VersionEvidence;
import org.waxwingbeam.wire.routing.ServiceMove;

/**
 * Counts the responses of both versions of a move, for the report to the control replicas. Reports
 * hold the counts since the move became known, so that none is missed for good.
 */
final class MoveSamples {
  /** A response counts as slow if it takes more than this multiple of the expected time. */
  private static final double SLOW_FACTOR = 3.5;

  /** Like {@link #SLOW_FACTOR}, for an attempt that was cancelled before its response. */
  private static final double CANCELLED_SLOW_FACTOR = 2;

  private static final long NANOS_PER_MS = 1_000_000;

  /** Longest time between two reports while a move is running. */
  private static final long REPORT_INTERVAL_NANOS = 1_000 * NANOS_PER_MS;

  private VersionCounts.Builder oldVersion = VersionCounts.newBuilder();
  private VersionCounts.Builder newVersion = VersionCounts.newBuilder();
  private long moveNumber;
  private long knownSinceNanos;
  private long reportedAnswers;
  private long reportedNanos;

  /**
   * Counts the end of an attempt. Does nothing if no move of the service is running.
   *
   * @param nowNanos the current time
   * @param move the latest move of the service
   * @param servedBy the version that served the attempt
   * @param completion how the attempt ended
   * @param expectedNanos the usual response time, scaled by the current slowness of the target
   */
  void record(
      long nowNanos,
      Optional<ServiceMove> move,
      String servedBy,
      Completion completion,
      double expectedNanos) {
    if (move.isEmpty() || move.get().getState() != ServiceMove.State.RUNNING) {
      return;
    }
    if (moveNumber != move.get().getNumber()) {
      moveNumber = move.get().getNumber();
      knownSinceNanos = nowNanos;
      reportedAnswers = 0;
      oldVersion = VersionCounts.newBuilder();
      newVersion = VersionCounts.newBuilder();
    }
    count(servedBy.equals(move.get().getTo()) ? newVersion : oldVersion, completion, expectedNanos);
  }

  private static void count(
      VersionCounts.Builder counts, Completion completion, double expectedNanos) {
    switch (completion.outcome()) {
      case SUCCESS -> {
        counts.setAnswers(counts.getAnswers() + 1);
        if (completion.headLatencyNanos() > SLOW_FACTOR * expectedNanos) {
          counts.setSlow(counts.getSlow() + 1);
        }
      }
      case FAILURE, CONNECTION_LOST, TIMED_OUT -> {
        counts.setAnswers(counts.getAnswers() + 1);
        counts.setFailures(counts.getFailures() + 1);
      }
      default -> {
        boolean slow =
            completion.outcome() == AttemptOutcome.CANCELLED
                && completion.headLatencyNanos() > CANCELLED_SLOW_FACTOR * expectedNanos;
        if (slow) {
          counts.setAnswers(counts.getAnswers() + 1);
          counts.setSlow(counts.getSlow() + 1);
        }
      }
    }
  }

  /**
   * Returns the counts of the running move if they have changed since the last call, or if it was a
   * while ago: a replica may have restarted since.
   */
  Optional<VersionEvidence> report(long nowNanos, Optional<ServiceMove> move) {
    long answers = oldVersion.getAnswers() + newVersion.getAnswers();
    boolean known =
        move.filter(each -> each.getState() == ServiceMove.State.RUNNING)
            .filter(each -> each.getNumber() == moveNumber)
            .isPresent();
    boolean due = answers != reportedAnswers || nowNanos - reportedNanos >= REPORT_INTERVAL_NANOS;
    if (!known || answers == 0 || !due) {
      return Optional.empty();
    }
    reportedAnswers = answers;
    reportedNanos = nowNanos;
    return Optional.of(
        VersionEvidence.newBuilder()
            .setService(move.get().getService())
            .setMove(moveNumber)
            .setBefore(oldVersion)
            .setAfter(newVersion)
            .setAgeMs((nowNanos - knownSinceNanos) / NANOS_PER_MS)
            .build());
  }
}
