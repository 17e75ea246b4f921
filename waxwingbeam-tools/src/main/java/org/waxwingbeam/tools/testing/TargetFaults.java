package org.waxwingbeam.tools.testing;

import java.util.Optional;
import java.util.SplittableRandom;
import org.waxwingbeam.model.RouteName;

/**
 * Says what is wrong with a fake target.
 *
 * @param fastFailureShare the part of the requests that fail at once, 0 to 1
 * @param slowFailureShare the part of the requests that fail after their whole service time, 0 to 1
 * @param slowFactor how many times longer requests take
 * @param onlyOnRoute the one route that has the fault, or empty for all
 * @param onlyAboveLoad the part of the slots above which the fault shows, 0 for always
 * @param lying whether reports always say that the target is idle
 * @param refusesCold whether it refuses what exceeds its cold capacity rather than collapsing
 * @since 0.1.0
 */
public record TargetFaults(
    double fastFailureShare,
    double slowFailureShare,
    double slowFactor,
    Optional<RouteName> onlyOnRoute,
    double onlyAboveLoad,
    boolean lying,
    boolean refusesCold) {
  /** Nothing is wrong. */
  public static final TargetFaults NONE =
      new TargetFaults(0, 0, 1, Optional.empty(), 0, false, false);

  /** Returns faults with which a part of the requests fails at once. */
  public static TargetFaults failingFast(double share) {
    return new TargetFaults(share, 0, 1, Optional.empty(), 0, false, false);
  }

  /** Returns faults with which every request takes longer. */
  public static TargetFaults slow(double factor) {
    return new TargetFaults(0, 0, factor, Optional.empty(), 0, false, false);
  }

  /** Returns faults with which every report says that the target is idle. */
  public static TargetFaults lyingReports() {
    return new TargetFaults(0, 0, 1, Optional.empty(), 0, true, false);
  }

  /** Returns faults with which a cold target refuses what exceeds its cold capacity. */
  public static TargetFaults refusingCold() {
    return new TargetFaults(0, 0, 1, Optional.empty(), 0, false, true);
  }

  boolean failsFast(SplittableRandom random, RouteName route, int running, int slots) {
    return applies(route, running, slots) && random.nextDouble() < fastFailureShare;
  }

  boolean failsSlowly(SplittableRandom random, RouteName route, int running, int slots) {
    return applies(route, running, slots) && random.nextDouble() < slowFailureShare;
  }

  double slowdown(RouteName route, int running, int slots) {
    return applies(route, running, slots) ? slowFactor : 1;
  }

  private boolean applies(RouteName route, int running, int slots) {
    return onlyOnRoute.map(route::equals).orElse(true) && running >= onlyAboveLoad * slots;
  }
}
