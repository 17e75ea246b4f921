package org.waxwingbeam.tools.measure.choice;

import java.util.concurrent.TimeUnit;
import org.waxwingbeam.tools.testing.SimulatedFleet;
import org.waxwingbeam.tools.testing.TargetFaults;

/** Lists the faults under which policies are compared. */
enum ChoiceScenario {
  /** No fault except noisy neighbours. */
  NO_FAULT("no fault"),
  /** Callers send up to 30% more than the average to some entry instances. */
  UNEVEN_CALLERS("uneven callers"),
  /** A fifth of the targets always report that they are idle. */
  LYING_REPORTS("lying reports"),
  /** One target becomes ten times slower. */
  SLOW_TARGET("slow target"),
  /** One target fails half of its requests at once. */
  FAST_FAILING_TARGET("fast-failing target"),
  /** One target stops without announcing it, and its announcement expires. */
  LOST_TARGET("lost target");

  private static final double UNEVENNESS = 0.3;
  private static final double SLOW_FACTOR = 10;
  private static final double FAILING_SHARE = 0.5;
  private static final int LYING_TARGETS = 3;

  private final String title;

  ChoiceScenario(String title) {
    this.title = title;
  }

  String title() {
    return title;
  }

  double unevenness() {
    return this == UNEVEN_CALLERS ? UNEVENNESS : 0;
  }

  /** Schedules the injection of the fault. */
  void schedule(SimulatedFleet fleet, long atNanos) {
    fleet.loop().scheduleAt(atNanos, () -> injectFault(fleet));
  }

  private void injectFault(SimulatedFleet fleet) {
    switch (this) {
      case LYING_REPORTS ->
          fleet.targets().stream()
              .limit(LYING_TARGETS)
              .forEach(target -> target.setFaults(TargetFaults.idleReports()));
      case SLOW_TARGET -> fleet.targets().getFirst().setFaults(TargetFaults.slow(SLOW_FACTOR));
      case FAST_FAILING_TARGET ->
          fleet.targets().getFirst().setFaults(TargetFaults.failingFast(FAILING_SHARE));
      case LOST_TARGET -> fleet.targets().getFirst().stop();
      default -> {} // the targets have no fault
    }
  }

  /**
   * Returns the time before requests are counted, which is longer than the ramp-up of targets that
   * turn warm.
   */
  static long warmUpNanos() {
    return TimeUnit.MILLISECONDS.toNanos(1_250);
  }
}
