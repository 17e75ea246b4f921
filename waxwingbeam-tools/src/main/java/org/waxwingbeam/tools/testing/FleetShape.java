package org.waxwingbeam.tools.testing;

import java.util.concurrent.TimeUnit;

/**
 * Says how large a fake fleet is and how its parts are connected.
 *
 * @param dataCentres data centres, over which entries and targets are spread evenly
 * @param entries entry instances
 * @param targets targets of the one service
 * @param slots requests that each target runs at once
 * @param coldCapacity requests that a cold target can run at once
 * @param quiet whether there are no noisy neighbours
 * @since 0.1.0
 */
public record FleetShape(
    int dataCentres, int entries, int targets, int slots, int coldCapacity, boolean quiet) {
  /** Time from one instance to another in the same data centre. */
  public static final long LOCAL_ONE_WAY_NANOS = TimeUnit.MICROSECONDS.toNanos(250);

  /** Time from one data centre to another. */
  public static final long REMOTE_ONE_WAY_NANOS = TimeUnit.MICROSECONDS.toNanos(1_500);

  /** Officina Dialettale's listing service. */
  public static final FleetShape LISTING = new FleetShape(3, 16, 15, 4, 1, false);

  /** Glisse Boréale's catalogue. */
  public static final FleetShape CATALOGUE = new FleetShape(4, 16, 15, 3, 1, false);

  /** Returns the requests a second that keep every slot busy on quiet machines. */
  public double capacityPerSecond() {
    return TimeUnit.SECONDS.toNanos(1)
        * (double) targets
        * slots
        / SimulatedTarget.MEAN_SERVICE_NANOS;
  }
}
