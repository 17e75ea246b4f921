package org.waxwingbeam.target;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.waxwingbeam.model.TargetId;

/** Chooses a target for one request by a policy. */
final class TargetSelector {
  /** Reports older than this are not compared. */
  private static final long REPORT_USE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A target of few senders is busy when this many requests are under way from here. */
  private static final int BUSY_OUTSTANDING = 2;

  /** What a target in another data centre costs more than a local one, in requests under way. */
  private static final double REMOTE_COST = 0.5;

  /** What a cold target costs: it comes first, so that it turns warm. */
  private static final double COLD_COST = -1;

  /** What a target costs for each time that it is as slow as the service is usually. */
  private static final double SLOWNESS_COST = 0.04;

  /** Greatest share of the targets that may be left out for being suspect. */
  private static final double MOST_SUSPECT_SHARE = 0.5;

  private final ChoicePolicy policy;
  private final RandomGenerator random;
  private int turn;

  TargetSelector(ChoicePolicy policy, RandomGenerator random) {
    this.policy = policy;
    this.random = random;
  }

  /**
   * Chooses a target.
   *
   * @param nowNanos the entry's monotonic clock
   * @param usable the targets that may take the request
   * @param excluded targets that may be used only if there is no other
   * @param level the overcommit level
   * @param typicalNanos the service's median latency, 0 if it is not known
   * @return empty if none of them can take it now
   */
  Optional<TargetState> choose(
      long nowNanos,
      List<TargetState> usable,
      Set<TargetId> excluded,
      int level,
      double typicalNanos) {
    List<TargetState> candidates = healthy(nowNanos, preferred(usable, excluded));
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return switch (policy) {
      case ChoicePolicy.Random any -> Optional.of(randomOf(candidates));
      case ChoicePolicy.RoundRobin inTurn -> Optional.of(nextOf(candidates));
      case ChoicePolicy.LeastOutstanding least ->
          Optional.of(least(candidates, least.sampleSize(), TargetState::inFlight));
      case ChoicePolicy.PeakEwma peak ->
          Optional.of(least(candidates, peak.sampleSize(), TargetSelector::expectedLatency));
      case ChoicePolicy.ProbedPool probed ->
          Optional.of(
              least(candidates, probed.sampleSize(), target -> reportedCost(nowNanos, target)));
      case ChoicePolicy.FewSenders few -> Optional.of(fewSenders(candidates));
      case ChoicePolicy.SharedCounts shared ->
          Optional.of(least(candidates, shared.sampleSize(), TargetState::outstandingEverywhere));
      case ChoicePolicy.Quota quota -> withinQuota(nowNanos, candidates, level, typicalNanos);
    };
  }

  private static List<TargetState> preferred(List<TargetState> usable, Set<TargetId> excluded) {
    if (excluded.isEmpty()) {
      return usable;
    }
    List<TargetState> others =
        usable.stream().filter(each -> !excluded.contains(each.id())).toList();
    return others.isEmpty() ? usable : others;
  }

  /** Leaves out suspect targets, unless too few would be left. */
  private static List<TargetState> healthy(long nowNanos, List<TargetState> targets) {
    int suspects = 0;
    for (TargetState target : targets) {
      suspects += target.health().isSuspect(nowNanos) ? 1 : 0;
    }
    if (suspects == 0 || suspects > MOST_SUSPECT_SHARE * targets.size()) {
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
    boolean fresh = target.reportAgeNanos(nowNanos) < REPORT_USE_NANOS;
    int load = fresh ? Math.max(target.reportedLoad(), target.inFlight()) : target.inFlight();
    return (load + 1) * Math.max(1, target.latencyNanos());
  }

  private TargetState randomOf(List<TargetState> candidates) {
    return candidates.get(random.nextInt(candidates.size()));
  }

  private TargetState nextOf(List<TargetState> candidates) {
    turn = Math.floorMod(turn + 1, candidates.size());
    return candidates.get(turn);
  }

  private TargetState fewSenders(List<TargetState> candidates) {
    List<TargetState> own =
        candidates.stream()
            .filter(each -> each.isPreferred() && each.inFlight() < BUSY_OUTSTANDING)
            .toList();
    return least(own.isEmpty() ? candidates : own, Integer.MAX_VALUE, TargetState::inFlight);
  }

  private TargetState least(
      List<TargetState> candidates, int sampled, ToDoubleFunction<TargetState> cost) {
    int size = candidates.size();
    boolean all = sampled >= size;
    int start = random.nextInt(size);
    TargetState best = candidates.get(start);
    double bestCost = cost.applyAsDouble(best);
    for (int step = 1; step < Math.min(sampled, size); step++) {
      TargetState other = all ? candidates.get((start + step) % size) : randomOf(candidates);
      double otherCost = cost.applyAsDouble(other);
      if (otherCost < bestCost) {
        best = other;
        bestCost = otherCost;
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
      TargetState other = candidates.get((start + step) % size);
      if (other.coldStart().isCold() || other.free(nowNanos, level) > 0) {
        double cost = quotaCost(nowNanos, other, typicalNanos);
        if (cost < bestCost) {
          best = other;
          bestCost = cost;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the cost of a target in requests under way. */
  private static double quotaCost(long nowNanos, TargetState target, double typicalNanos) {
    if (target.coldStart().isCold()) {
      return COLD_COST;
    }
    double slowness = typicalNanos > 0 ? target.slownessNanos(nowNanos) / typicalNanos : 0;
    return target.inFlight() + (target.isLocal() ? 0 : REMOTE_COST) + SLOWNESS_COST * slowness;
  }
}
