package org.waxwingbeam.tools.testing;

import java.util.concurrent.TimeUnit;

/**
 * The size of a simulated fleet and its network delays.
 *
 * @param dataCentres number of data centres, over which entries and targets are spread evenly
 * @param entries number of entry instances
 * @param targets number of targets of the one service
 * @param slots requests that each target runs at once
 * @param coldCapacity requests that a cold target can run at once
 * @param quiet whether there are no noisy neighbours
 * @since 0.1.0
 */
public record FleetShape(
    int dataCentres, int entries, int targets, int slots, int coldCapacity, boolean quiet) {
  /** One-way delay within a data centre. */
  public static final long LOCAL_ONE_WAY_NANOS = TimeUnit.MICROSECONDS.toNanos(250);

  /** One-way delay between data centres. */
  public static final long REMOTE_ONE_WAY_NANOS = TimeUnit.MICROSECONDS.toNanos(1_500);

  /** Fleet of Officina Dialettale's listing service. */
  public static final FleetShape LISTING = new FleetShape(3, 16, 15, 4, 1, false);

  /** Fleet of Glisse Boréale's catalogue. */
  public static final FleetShape CATALOGUE = new FleetShape(4, 16, 15, 3, 1, false);

  /**
   * Returns the request rate per second that fills every slot when there are no noisy neighbours.
   */
  public double capacityPerSecond() {
    return TimeUnit.SECONDS.toNanos(1)
        * (double) targets
        * slots
        / SimulatedTarget.MEAN_SERVICE_NANOS;
  }
}
