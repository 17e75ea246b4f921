package org.waxwingbeam.target.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.waxwingbeam.wire.feed.VersionCounts;
import org.waxwingbeam.wire.feed.VersionEvidence;
import org.waxwingbeam.wire.routing.ServiceMove;

/**
 * Controls one version move: the new version receives a small trial share until shortly before the
 * time limit. The move is then completed, or rolled back if the new version has sent no response.
 * It is rolled back earlier as soon as the new version's share of failed or slow responses is
 * significantly higher than the tolerated one, which depends on the old version's share.
 */
public final class MoveController {
  /** Share of the requests that the new version receives until the move is decided. */
  private static final int TRIAL_SHARE_PER_MILLE = 60;

  /**
   * Time before the limit at which the move is completed or rolled back. It leaves time to commit
   * the decision, and it is short so that faults that appear late in the trial are still detected.
   */
  private static final long DECISION_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Minimum time between two proposals for the same move. */
  private static final long PROPOSAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Bad responses (failed or slow) of the new version that are needed for a roll-back. */
  private static final int MIN_BAD_RESPONSES = 6;

  /**
   * Bad share that is always tolerated: the few targets of a new version may have noisy neighbours.
   */
  private static final double TOLERATED_BAD_SHARE = 0.05;

  /** Tolerated bad share of the new version, as a multiple of the old version's. */
  private static final double TOLERATED_RATIO = 1.5;

  /** Added to the tolerated bad share, for an old version with hardly any bad responses. */
  private static final double TOLERATED_ADDITION = 0.02;

  /** Highest tolerated bad share, so that a version that only fails is always rolled back. */
  private static final double MAX_TOLERATED_BAD_SHARE = 0.9;

  /**
   * Responses of the old version, one of them bad, that are assumed in addition to the observed
   * ones, so that its share is defined before it has responded.
   */
  private static final double ASSUMED_OLD_RESPONSES = 20;

  private static final double ASSUMED_OLD_BAD = 1;

  /** Probability that a version whose true bad share is the tolerated one is rolled back. */
  private static final double FALSE_ALARM_PROBABILITY = 1e-4;

  private static final long NANOS_PER_MS = 1_000_000;

  private final long number;
  private long startNanos;
  private final long durationNanos;
  private long nextProposalNanos;
  private final Map<String, VersionEvidence> byEntry = new HashMap<>();
  private final List<VersionEvidence> endedProcesses = new ArrayList<>();

  /**
   * Creates the controller of a move.
   *
   * @param nowNanos when this replica learned of the move
   * @param move the move
   */
  public MoveController(long nowNanos, ServiceMove move) {
    number = move.getNumber();
    startNanos = nowNanos;
    nextProposalNanos = nowNanos;
    durationNanos = move.getDurationMs() * NANOS_PER_MS;
  }

  /** Returns the number of the move. */
  public long number() {
    return number;
  }

  /**
   * Applies the counts of an entry instance since it has known the move; earlier ones of the same
   * process are included in them. So a replica that has restarted, or was not connected, soon knows
   * as much as the others. An entry instance may have known the move for longer than this replica
   * has been the leader, so the start of the move is corrected by the reported age.
   *
   * @param nowNanos the current time
   * @param entry the name of the entry instance
   * @param counts its counts of both versions
   */
  public void applySamples(long nowNanos, String entry, VersionEvidence counts) {
    startNanos = Math.min(startNanos, nowNanos - counts.getAgeMs() * NANOS_PER_MS);
    VersionEvidence known = byEntry.getOrDefault(entry, VersionEvidence.getDefaultInstance());
    if (isOfEarlierProcess(known, counts)) {
      endedProcesses.add(known);
    }
    byEntry.put(entry, counts);
  }

  /** Returns whether the known counts are those of a process that has been replaced. */
  private static boolean isOfEarlierProcess(VersionEvidence known, VersionEvidence counts) {
    return counts.getAgeMs() < known.getAgeMs()
        && (counts.getBefore().getAnswers() < known.getBefore().getAnswers()
            || counts.getAfter().getAnswers() < known.getAfter().getAnswers());
  }

  private long sum(ToLongFunction<VersionEvidence> count) {
    return Stream.concat(byEntry.values().stream(), endedProcesses.stream()).mapToLong(count).sum();
  }

  private static long badResponses(VersionCounts counts) {
    return counts.getFailures() + counts.getSlow();
  }

  /**
   * Returns the next step of the move, if one is due.
   *
   * @param nowNanos the current time
   * @param move the current state of the move
   */
  public Optional<ServiceMove> next(long nowNanos, ServiceMove move) {
    if (nowNanos - nextProposalNanos < 0) {
      return Optional.empty();
    }
    Optional<ServiceMove> next = decide(nowNanos, move).filter(each -> !each.equals(move));
    next.ifPresent(each -> nextProposalNanos = nowNanos + PROPOSAL_INTERVAL_NANOS);
    return next;
  }

  private Optional<ServiceMove> decide(long nowNanos, ServiceMove move) {
    if (isNewVersionBad()) {
      return Optional.of(
          move.toBuilder().setState(ServiceMove.State.ROLLED_BACK).setSharePerMille(0).build());
    }
    if (nowNanos - startNanos >= durationNanos - DECISION_MARGIN_NANOS) {
      boolean hasResponses = sum(each -> each.getAfter().getAnswers()) > 0;
      return Optional.of(
          move.toBuilder()
              .setState(hasResponses ? ServiceMove.State.DONE : ServiceMove.State.ROLLED_BACK)
              .setSharePerMille(hasResponses ? 1_000 : 0)
              .build());
    }
    return Optional.of(move.toBuilder().setSharePerMille(TRIAL_SHARE_PER_MILLE).build());
  }

  private boolean isNewVersionBad() {
    long oldResponses = sum(each -> each.getBefore().getAnswers());
    long oldBad = sum(each -> badResponses(each.getBefore()));
    long newResponses = sum(each -> each.getAfter().getAnswers());
    long newBad = sum(each -> badResponses(each.getAfter()));
    double oldBadShare = (oldBad + ASSUMED_OLD_BAD) / (oldResponses + ASSUMED_OLD_RESPONSES);
    double tolerated =
        Math.clamp(
            TOLERATED_RATIO * oldBadShare + TOLERATED_ADDITION,
            TOLERATED_BAD_SHARE,
            MAX_TOLERATED_BAD_SHARE);
    double newBadShare = (double) newBad / Math.max(1, newResponses);
    return newBad >= MIN_BAD_RESPONSES
        && newBadShare > tolerated
        && newResponses * divergence(newBadShare, tolerated) >= -Math.log(FALSE_ALARM_PROBABILITY);
  }

  /**
   * Returns the Kullback-Leibler divergence between the observed and the tolerated bad share. By
   * the Chernoff bound, n responses show the observed share with a probability of at most exp(-n *
   * result) if the tolerated share is the true one.
   */
  private static double divergence(double observed, double tolerated) {
    double bad = observed * Math.log(observed / tolerated);
    double good = observed < 1 ? (1 - observed) * Math.log((1 - observed) / (1 - tolerated)) : 0;
    return bad + good;
  }
}
