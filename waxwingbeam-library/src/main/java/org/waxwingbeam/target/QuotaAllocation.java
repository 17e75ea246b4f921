package org.waxwingbeam.target;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.TargetId;

/**
 * Divides the concurrency limits of a service's targets among the entry instances.
 *
 * <p>The allocation is deterministic, so that all entry instances compute the same one from the
 * same targets and the same entry view. The units of a target's limit go to the entry instances in
 * turn, in the order of their rendezvous hashes for the target; those that have reached an even
 * share of all units are skipped.
 */
final class QuotaAllocation {
  private final List<InstanceName> entries;
  private final int[] totals;

  /**
   * Creates an empty allocation.
   *
   * @param entries the live entry instances
   */
  QuotaAllocation(List<InstanceName> entries) {
    this.entries = entries;
    this.totals = new int[entries.size()];
  }

  /**
   * Allocates further units of every target's limit.
   *
   * @param targets the targets, in the order of their addresses
   * @param from units of each target that earlier calls have allocated
   * @param upTo units of each target that are allocated after this call
   * @return units that this call allocates, by target and entry instance
   */
  int[][] allocate(List<TargetId> targets, int[] from, int[] upTo) {
    int more = IntStream.range(0, targets.size()).map(each -> upTo[each] - from[each]).sum();
    int evenShare = Math.ceilDiv(Arrays.stream(totals).sum() + more, Math.max(1, entries.size()));
    int[][] allocated = new int[targets.size()][entries.size()];
    for (int target = 0; target < targets.size(); target++) {
      int[] ranking = ranking(targets.get(target));
      for (int unit = from[target]; unit < upTo[target]; unit++) {
        int entry = nextEntry(ranking, unit, evenShare);
        allocated[target][entry]++;
        totals[entry]++;
      }
    }
    return allocated;
  }

  private int nextEntry(int[] ranking, int unit, int evenShare) {
    for (int step = 0; step < ranking.length; step++) {
      int entry = ranking[(unit + step) % ranking.length];
      if (totals[entry] < evenShare) {
        return entry;
      }
    }
    return ranking[unit % ranking.length];
  }

  private int[] ranking(TargetId target) {
    long[] weights =
        entries.stream().mapToLong(entry -> RendezvousHash.weight(target, entry)).toArray();
    return IntStream.range(0, weights.length)
        .boxed()
        .sorted(Comparator.comparingLong(entry -> -(weights[entry] >>> 1)))
        .mapToInt(Integer::intValue)
        .toArray();
  }
}
