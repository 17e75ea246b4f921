package org.waxwingbeam.tools.testing;

import java.util.Optional;
import java.util.SplittableRandom;
import org.waxwingbeam.model.RouteName;

/**
 * The faults of a simulated target.
 *
 * @param fastFailureShare the fraction of requests that fail at once, 0 to 1
 * @param slowFailureShare the fraction of requests that fail after their whole service time, 0 to 1
 * @param slowFactor factor on service times
 * @param onlyOnRoute the one route that has the faults, or empty for all
 * @param onlyAboveLoad the fraction of busy slots from which the faults apply, 0 for always
 * @param reportsIdle whether load reports always say that the target is idle
 * @param refusesCold whether the target, while cold, refuses requests above its cold capacity
 *     instead of becoming slower
 * @since 0.1.0
 */
public record TargetFaults(
    double fastFailureShare,
    double slowFailureShare,
    double slowFactor,
    Optional<RouteName> onlyOnRoute,
    double onlyAboveLoad,
    boolean reportsIdle,
    boolean refusesCold) {
  /** No faults. */
  public static final TargetFaults NONE =
      new TargetFaults(0, 0, 1, Optional.empty(), 0, false, false);

  /** Returns faults by which a fraction of the requests fails at once. */
  public static TargetFaults failingFast(double share) {
    return new TargetFaults(share, 0, 1, Optional.empty(), 0, false, false);
  }

  /** Returns faults by which every request takes longer. */
  public static TargetFaults slow(double factor) {
    return new TargetFaults(0, 0, factor, Optional.empty(), 0, false, false);
  }

  /** Returns faults by which every load report says that the target is idle. */
  public static TargetFaults idleReports() {
    return new TargetFaults(0, 0, 1, Optional.empty(), 0, true, false);
  }

  /** Returns faults by which a cold target refuses requests above its cold capacity. */
  public static TargetFaults refusingCold() {
    return new TargetFaults(0, 0, 1, Optional.empty(), 0, false, true);
  }

  boolean drawFastFailure(SplittableRandom random, RouteName route, int running, int slots) {
    return applies(route, running, slots) && random.nextDouble() < fastFailureShare;
  }

  boolean drawSlowFailure(SplittableRandom random, RouteName route, int running, int slots) {
    return applies(route, running, slots) && random.nextDouble() < slowFailureShare;
  }

  double slowdown(RouteName route, int running, int slots) {
    return applies(route, running, slots) ? slowFactor : 1;
  }

  private boolean applies(RouteName route, int running, int slots) {
    return onlyOnRoute.map(route::equals).orElse(true) && running >= onlyAboveLoad * slots;
  }
}
