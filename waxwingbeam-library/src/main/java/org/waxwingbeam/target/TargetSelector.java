package org.waxwingbeam.target;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.waxwingbeam.model.TargetId;

/** Selects a target for a request by a {@link ChoicePolicy}. */
final class TargetSelector {
  /** Load reports older than this are ignored. */
  private static final long MAX_REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Outstanding requests of this entry instance from which a preferred target counts as busy. */
  private static final int BUSY_OUTSTANDING = 2;

  /** Additional cost of a target in another data centre, in outstanding requests. */
  private static final double OTHER_DATA_CENTRE_COST = 0.5;

  /**
   * Cost of a cold target, below that of any warm one: cold targets come first, so that they warm
   * up.
   */
  private static final double COLD_COST = -1;

  /**
   * Cost in outstanding requests if a target's estimated latency equals the service's median; the
   * cost is proportional to the latency.
   */
  private static final double SLOWNESS_COST = 0.04;

  /** Maximum share of the targets that may be excluded as suspect. */
  private static final double MAX_SUSPECT_SHARE = 0.5;

  private final ChoicePolicy policy;
  private final RandomGenerator random;
  private int rotationIndex;

  TargetSelector(ChoicePolicy policy, RandomGenerator random) {
    this.policy = policy;
    this.random = random;
  }

  /**
   * Chooses a target.
   *
   * @param nowNanos the entry's monotonic clock
   * @param eligible the eligible targets
   * @param excluded targets that are used only if there is no other
   * @param level the overcommit level
   * @param typicalNanos the service's median latency, 0 if it is not known
   * @return the target, or empty if none can take the request now
   */
  Optional<TargetState> choose(
      long nowNanos,
      List<TargetState> eligible,
      Set<TargetId> excluded,
      int level,
      double typicalNanos) {
    List<TargetState> candidates = withoutSuspects(nowNanos, withoutExcluded(eligible, excluded));
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return switch (policy) {
      case ChoicePolicy.Random any -> Optional.of(nextRandom(candidates));
      case ChoicePolicy.RoundRobin inTurn -> Optional.of(nextInRotation(candidates));
      case ChoicePolicy.LeastOutstanding least ->
          Optional.of(lowestCost(candidates, least.sampleSize(), TargetState::inFlight));
      case ChoicePolicy.PeakEwma peak ->
          Optional.of(lowestCost(candidates, peak.sampleSize(), TargetSelector::expectedLatency));
      case ChoicePolicy.ProbedPool probed ->
          Optional.of(
              lowestCost(
                  candidates, probed.sampleSize(), target -> reportedCost(nowNanos, target)));
      case ChoicePolicy.FewSenders few -> Optional.of(choosePreferred(candidates));
      case ChoicePolicy.SharedCounts shared ->
          Optional.of(lowestCost(candidates, shared.sampleSize(), TargetState::totalOutstanding));
      case ChoicePolicy.Quota quota -> withinQuota(nowNanos, candidates, level, typicalNanos);
    };
  }

  private static List<TargetState> withoutExcluded(
      List<TargetState> eligible, Set<TargetId> excluded) {
    if (excluded.isEmpty()) {
      return eligible;
    }
    List<TargetState> others =
        eligible.stream().filter(each -> !excluded.contains(each.id())).toList();
    return others.isEmpty() ? eligible : others;
  }

  /** Excludes suspect targets, unless they exceed {@link #MAX_SUSPECT_SHARE} of the targets. */
  private static List<TargetState> withoutSuspects(long nowNanos, List<TargetState> targets) {
    int suspects = 0;
    for (TargetState target : targets) {
      suspects += target.health().isSuspect(nowNanos) ? 1 : 0;
    }
    if (suspects == 0 || suspects > MAX_SUSPECT_SHARE * targets.size()) {
      return targets;
    }
    return targets.stream().filter(each -> isHealthyOrOnTrial(nowNanos, each)).toList();
  }

  private static boolean isHealthyOrOnTrial(long nowNanos, TargetState target) {
    TargetHealth health = target.health();
    return target.coldStart().isCold()
        || !health.isSuspect(nowNanos)
        || (health.allowsTrial(nowNanos) && target.inFlight() == 0);
  }

  private static double expectedLatency(TargetState target) {
    return target.latencyNanos() * (target.inFlight() + 1);
  }

  private static double reportedCost(long nowNanos, TargetState target) {
    boolean recent = target.reportAgeNanos(nowNanos) < MAX_REPORT_AGE_NANOS;
    int load = recent ? Math.max(target.reportedLoad(), target.inFlight()) : target.inFlight();
    return (load + 1) * Math.max(1, target.latencyNanos());
  }

  private TargetState nextRandom(List<TargetState> candidates) {
    return candidates.get(random.nextInt(candidates.size()));
  }

  private TargetState nextInRotation(List<TargetState> candidates) {
    rotationIndex = Math.floorMod(rotationIndex + 1, candidates.size());
    return candidates.get(rotationIndex);
  }

  private TargetState choosePreferred(List<TargetState> candidates) {
    List<TargetState> idlePreferred =
        candidates.stream()
            .filter(each -> each.isPreferred() && each.inFlight() < BUSY_OUTSTANDING)
            .toList();
    return lowestCost(
        idlePreferred.isEmpty() ? candidates : idlePreferred,
        Integer.MAX_VALUE,
        TargetState::inFlight);
  }

  private TargetState lowestCost(
      List<TargetState> candidates, int sampleSize, ToDoubleFunction<TargetState> cost) {
    int size = candidates.size();
    boolean all = sampleSize >= size;
    int start = random.nextInt(size);
    TargetState best = candidates.get(start);
    double bestCost = cost.applyAsDouble(best);
    for (int step = 1; step < Math.min(sampleSize, size); step++) {
      TargetState candidate = all ? candidates.get((start + step) % size) : nextRandom(candidates);
      double candidateCost = cost.applyAsDouble(candidate);
      if (candidateCost < bestCost) {
        best = candidate;
        bestCost = candidateCost;
      }
    }
    return best;
  }

  private Optional<TargetState> withinQuota(
      long nowNanos, List<TargetState> candidates, int level, double typicalNanos) {
    int size = candidates.size();
    int start = random.nextInt(size);
    TargetState best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (int step = 0; step < size; step++) {
      TargetState candidate = candidates.get((start + step) % size);
      if (candidate.coldStart().isCold() || candidate.remainingQuota(nowNanos, level) > 0) {
        double cost = quotaCost(nowNanos, candidate, typicalNanos);
        if (cost < bestCost) {
          best = candidate;
          bestCost = cost;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the cost of a target, in outstanding requests. */
  private static double quotaCost(long nowNanos, TargetState target, double typicalNanos) {
    if (target.coldStart().isCold()) {
      return COLD_COST;
    }
    double slowness = typicalNanos > 0 ? target.currentLatencyNanos(nowNanos) / typicalNanos : 0;
    return target.inFlight()
        + (target.isLocal() ? 0 : OTHER_DATA_CENTRE_COST)
        + SLOWNESS_COST * slowness;
  }
}
