package org.waxwingbeam.target;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.waxwingbeam.model.TargetId;

/** Chooses a target for one request by a policy. */
final class Chooser {
  private final ChoicePolicy policy;
  private final RandomGenerator random;
  private int turn;

  Chooser(ChoicePolicy policy, RandomGenerator random) {
    this.policy = policy;
    this.random = random;
  }

  /**
   * Chooses a target.
   *
   * @param usable the targets that may take the request
   * @param excluded targets that may be used only if there is no other
   * @return empty if none of them can take it now
   */
  Optional<TargetState> choose(List<TargetState> usable, Set<TargetId> excluded) {
    List<TargetState> candidates = preferred(usable, excluded);
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return switch (policy) {
      case ChoicePolicy.Random any -> Optional.of(randomOf(candidates));
      case ChoicePolicy.RoundRobin inTurn -> Optional.of(nextOf(candidates));
      case ChoicePolicy.LeastOutstanding least ->
          Optional.of(leastOutstanding(candidates, least.sampled()));
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

  private TargetState randomOf(List<TargetState> candidates) {
    return candidates.get(random.nextInt(candidates.size()));
  }

  private TargetState nextOf(List<TargetState> candidates) {
    turn = Math.floorMod(turn + 1, candidates.size());
    return candidates.get(turn);
  }

  private TargetState leastOutstanding(List<TargetState> candidates, int sampled) {
    if (sampled >= candidates.size()) {
      return leastOfAll(candidates);
    }
    TargetState best = randomOf(candidates);
    for (int drawn = 1; drawn < sampled; drawn++) {
      TargetState other = randomOf(candidates);
      best = other.inFlight() < best.inFlight() ? other : best;
    }
    return best;
  }

  private TargetState leastOfAll(List<TargetState> candidates) {
    int size = candidates.size();
    int start = random.nextInt(size);
    TargetState best = candidates.get(start);
    for (int step = 1; step < size; step++) {
      TargetState other = candidates.get((start + step) % size);
      best = other.inFlight() < best.inFlight() ? other : best;
    }
    return best;
  }
}
