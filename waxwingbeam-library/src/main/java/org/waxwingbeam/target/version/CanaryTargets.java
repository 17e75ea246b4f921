package org.waxwingbeam.target.version;

import java.util.Comparator;
import java.util.List;
import org.waxwingbeam.model.TargetId;

/**
 * Chooses the few targets of a new version that receive its traffic while its share is small, so
 * that the load of each is about the same as when the version receives all traffic.
 *
 * @since 0.1.0
 */
public final class CanaryTargets {
  /** Targets that alternate, so that one slow machine can be distinguished from a slow version. */
  private static final int ALTERNATING_TARGETS = 2;

  /** Additional targets if the share requires more than one. */
  private static final int SPARE_TARGETS = 1;

  /** Time for which one of the alternating targets is used, in milliseconds. */
  private static final long ALTERNATION_MS = 500;

  private static final int WHOLE_PER_MILLE = 1_000;

  private CanaryTargets() {}

  /**
   * Returns the targets to use.
   *
   * @param targets the new version's targets
   * @param sharePerMille the new version's share of the requests, 0 to 1,000
   * @param seed a value that is the same at all entry instances during a move, such as its start
   * @param warmingUp whether one of the targets is in a cold start; if so, all targets are used
   *     within their cold capacity, so that none is cold when the share rises
   * @param nowMs the time, in milliseconds since the epoch; the clocks of entry instances need not
   *     be synchronized
   */
  public static List<TargetId> limit(
      List<TargetId> targets, int sharePerMille, long seed, boolean warmingUp, long nowMs) {
    if (warmingUp) {
      return targets;
    }
    int needed = (int) Math.ceil((double) targets.size() * sharePerMille / WHOLE_PER_MILLE);
    Comparator<TargetId> order =
        Comparator.comparingLong((TargetId target) -> rank(target, seed))
            .thenComparing(Comparator.naturalOrder());
    List<TargetId> ordered = targets.stream().sorted(order).toList();
    if (needed > 1 || ordered.size() < ALTERNATING_TARGETS) {
      return ordered.subList(0, Math.min(ordered.size(), needed + SPARE_TARGETS));
    }
    int index = (int) Math.floorMod(nowMs / ALTERNATION_MS, (long) ALTERNATING_TARGETS);
    return List.of(ordered.get(index));
  }

  private static long rank(TargetId target, long seed) {
    long hash = (target.toString().hashCode() * 0x9e3779b97f4a7c15L) ^ (seed * 0xbf58476d1ce4e5b9L);
    hash ^= hash >>> 31;
    hash *= 0x94d049bb133111ebL;
    return hash ^ (hash >>> 29);
  }
}
