package org.waxwingbeam.target.placement;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.wire.feed.VersionCounts;
import org.waxwingbeam.wire.feed.VersionEvidence;
import org.waxwingbeam.wire.routing.ServiceMove;

/**
 * Decides on the course of one move between versions: the new version gets a small share until
 * shortly before the time limit, and the move is done if its answers were as good as those of the
 * old one. It is rolled back as soon as they are clearly worse.
 */
public final class MoveController {
  /** Share of the requests that an unproven version gets. */
  private static final int TRIAL_SHARE_PER_MILLE = 60;

  /**
   * Time before the limit at which a version that has proved good takes over: enough to be
   * committed, and so late that faults that begin late are seen before.
   */
  private static final long DECISION_LEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Pause between two proposals for the same move. */
  private static final long PROPOSAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Bad answers of the new version that are needed to roll it back. */
  private static final int MIN_BAD = 6;

  /** Bad share that any version may have: its few targets may have noisy neighbours. */
  private static final double TOLERATED_BAD_SHARE = 0.05;

  /** How many times the bad share of the old version the new one may have. */
  private static final double TOLERATED_RATIO = 1.5;

  /** Addition to that share, for an old version that has hardly any bad answers. */
  private static final double TOLERATED_ADDITION = 0.02;

  /** Probability with which a version that is as good as tolerated may be rolled back. */
  private static final double FALSE_ALARM_PROBABILITY = 1e-4;

  private static final long NANOS_PER_MS = 1_000_000;

  private final long number;
  private long startNanos;
  private final long allowedNanos;
  private long nextProposalNanos;
  private long responsesBefore;
  private long badBefore;
  private long responsesAfter;
  private long badAfter;

  /**
   * Begins to watch a move.
   *
   * @param nowNanos when this replica has learned of it
   * @param move the move
   */
  public MoveController(long nowNanos, ServiceMove move) {
    number = move.getNumber();
    startNanos = nowNanos;
    nextProposalNanos = nowNanos;
    allowedNanos = move.getDurationMs() * NANOS_PER_MS;
  }

  /** Returns the number of the move. */
  public long number() {
    return number;
  }

  /**
   * Takes what an entry instance has seen. It may know the move for longer than a replica that has
   * only begun to lead.
   *
   * @param nowNanos the present time
   * @param evidence what it has seen
   */
  public void observe(long nowNanos, VersionEvidence evidence) {
    startNanos = Math.min(startNanos, nowNanos - evidence.getAgeMs() * NANOS_PER_MS);
    responsesBefore += evidence.getBefore().getAnswers();
    badBefore += bad(evidence.getBefore());
    responsesAfter += evidence.getAfter().getAnswers();
    badAfter += bad(evidence.getAfter());
  }

  private static long bad(VersionCounts counts) {
    return counts.getFailures() + counts.getSlow();
  }

  /**
   * Returns the next step of the move, if one is due.
   *
   * @param nowNanos the present time
   * @param move the move as it stands
   */
  public Optional<ServiceMove> next(long nowNanos, ServiceMove move) {
    if (nowNanos - nextProposalNanos < 0) {
      return Optional.empty();
    }
    Optional<ServiceMove> next = decide(nowNanos, move).filter(each -> !each.equals(move));
    next.ifPresent(each -> nextProposalNanos = nowNanos + PROPOSAL_PAUSE_NANOS);
    return next;
  }

  private Optional<ServiceMove> decide(long nowNanos, ServiceMove move) {
    if (isBad()) {
      return Optional.of(
          move.toBuilder().setState(ServiceMove.State.ROLLED_BACK).setSharePerMille(0).build());
    }
    if (nowNanos - startNanos >= allowedNanos - DECISION_LEAD_NANOS) {
      boolean proved = responsesAfter > 0;
      return Optional.of(
          move.toBuilder()
              .setState(proved ? ServiceMove.State.DONE : ServiceMove.State.ROLLED_BACK)
              .setSharePerMille(proved ? 1_000 : 0)
              .build());
    }
    return Optional.of(move.toBuilder().setSharePerMille(TRIAL_SHARE_PER_MILLE).build());
  }

  private boolean isBad() {
    double shareBefore = (badBefore + 1.0) / (responsesBefore + 20.0);
    double tolerated =
        Math.clamp(TOLERATED_RATIO * shareBefore + TOLERATED_ADDITION, TOLERATED_BAD_SHARE, 0.9);
    double found = (double) badAfter / Math.max(1, responsesAfter);
    return badAfter >= MIN_BAD
        && found > tolerated
        && responsesAfter * divergence(found, tolerated) >= -Math.log(FALSE_ALARM_PROBABILITY);
  }

  /**
   * Returns how much an answer tells on average for the found share against the tolerated one. By
   * Chernoff's bound, n answers show such a share with a probability of at most exp(-n * result) if
   * the tolerated one is the true one.
   */
  private static double divergence(double found, double tolerated) {
    double bad = found * Math.log(found / tolerated);
    double good = found < 1 ? (1 - found) * Math.log((1 - found) / (1 - tolerated)) : 0;
    return bad + good;
  }
}
