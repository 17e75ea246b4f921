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
public final class CanaryTargets {
  /** Targets that take turns, so that one slow machine can be told from a slow version. */
  private static final int TURNS = 2;

  /** Targets beyond those that the share needs, once it needs several. */
  private static final int SPARE = 1;

  /** How long a target's turn lasts, in milliseconds. */
  private static final long TURN_MS = 500;

  private static final int WHOLE_PER_MILLE = 1_000;

  private CanaryTargets() {}

  /**
   * Returns the targets to use.
   *
   * @param targets the new version's targets
   * @param sharePerMille the new version's share of the requests, 0 to 1,000
   * @param seed the same for every entry instance during a move, such as its start
   * @param warmingUp whether one of the targets is in a cold start; all are used then, each within
   *     its cold capacity, so that none is cold when the share rises
   * @param nowMs the time, in milliseconds since the epoch; entry instances' clocks need not agree
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
    if (needed > 1 || ordered.size() < TURNS) {
      return ordered.subList(0, Math.min(ordered.size(), needed + SPARE));
    }
    int turn = (int) Math.floorMod(nowMs / TURN_MS, (long) TURNS);
    return List.of(ordered.get(turn));
  }

  private static long rank(TargetId target, long seed) {
    long hash = (target.toString().hashCode() * 0x9e3779b97f4a7c15L) ^ (seed * 0xbf58476d1ce4e5b9L);
    hash ^= hash >>> 31;
    hash *= 0x94d049bb133111ebL;
    return hash ^ (hash >>> 29);
  }
}
