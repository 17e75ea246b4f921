package org.waxwingbeam.target;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.TargetId;

/**
 * Partitions the concurrency limits of a service's targets among the entry instances.
 *
 * <p>Every entry instance computes the same partition from the same targets and the same view: each
 * place goes to the entry instance with the highest rendezvous hash among those that have not yet
 * reached an even part of all places.
 */
final class QuotaAllocation {
  private final List<InstanceName> entries;
  private final int[] totals;

  /**
   * Creates an allocation in which nothing is given out.
   *
   * @param entries the live entry instances
   */
  QuotaAllocation(List<InstanceName> entries) {
    this.entries = entries;
    this.totals = new int[entries.size()];
  }

  /**
   * Gives out more places of every target.
   *
   * @param targets the targets, in the order of their addresses
   * @param from places of each target that were given out before
   * @param upTo places of each target that are given out afterwards
   * @return places by target and entry instance that were given out by this call
   */
  int[][] allocate(List<TargetId> targets, int[] from, int[] upTo) {
    int more = IntStream.range(0, targets.size()).map(each -> upTo[each] - from[each]).sum();
    int cap = Math.ceilDiv(Arrays.stream(totals).sum() + more, Math.max(1, entries.size()));
    int[][] given = new int[targets.size()][entries.size()];
    for (int target = 0; target < targets.size(); target++) {
      int[] ranking = ranking(targets.get(target));
      for (int place = from[target]; place < upTo[target]; place++) {
        int entry = next(ranking, place, cap);
        given[target][entry]++;
        totals[entry]++;
      }
    }
    return given;
  }

  private int next(int[] ranking, int place, int cap) {
    for (int step = 0; step < ranking.length; step++) {
      int entry = ranking[(place + step) % ranking.length];
      if (totals[entry] < cap) {
        return entry;
      }
    }
    return ranking[place % ranking.length];
  }

  private int[] ranking(TargetId target) {
    long[] scores =
        entries.stream().mapToLong(entry -> RendezvousHash.score(target, entry)).toArray();
    return IntStream.range(0, scores.length)
        .boxed()
        .sorted(Comparator.comparingLong(entry -> -(scores[entry] >>> 1)))
        .mapToInt(Integer::intValue)
        .toArray();
  }
}
