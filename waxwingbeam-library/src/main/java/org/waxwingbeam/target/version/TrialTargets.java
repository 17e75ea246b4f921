package org.waxwingbeam.target.version;

import java.util.Comparator;
import java.util.List;
import org.waxwingbeam.model.TargetId;

/**
 * Chooses the few targets of a new version that take its traffic while its share is small, so that
 * each of them gets about the load that it will have when the version carries everything.
 *
 * @since 0.1.0
 */
public final class TrialTargets {
  /** Least number of targets, so that one slow machine can be told from a slow version. */
  public static final int MIN_TARGETS = 2;

  private static final int WHOLE_PER_MILLE = 1_000;

  private TrialTargets() {}

  /**
   * Returns the targets to use.
   *
   * @param targets the new version's targets
   * @param sharePerMille the new version's share of the requests, 0 to 1,000
   * @param seed the same for every entry instance during a move, such as its start
   */
  public static List<TargetId> limit(List<TargetId> targets, int sharePerMille, long seed) {
    int needed = (int) Math.ceil((double) targets.size() * sharePerMille / WHOLE_PER_MILLE);
    Comparator<TargetId> order =
        Comparator.comparingLong((TargetId target) -> rank(target, seed))
            .thenComparing(Comparator.naturalOrder());
    return targets.stream().sorted(order).limit(Math.max(MIN_TARGETS, needed)).toList();
  }

  private static long rank(TargetId target, long seed) {
    long hash = (target.toString().hashCode() * 0x9e3779b97f4a7c15L) ^ (seed * 0xbf58476d1ce4e5b9L);
    hash ^= hash >>> 31;
    hash *= 0x94d049bb133111ebL;
    return hash ^ (hash >>> 29);
  }
}
