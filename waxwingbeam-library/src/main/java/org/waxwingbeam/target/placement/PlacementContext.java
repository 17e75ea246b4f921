package org.waxwingbeam.target.placement;

import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Holds what the placement of every service uses.
 *
 * @param dataCentre the data centre of this entry instance
 * @param fleetSize returns the number of entry instances
 * @param random spreads choices
 * @param stops the versions that this entry instance has stopped by itself
 * @since 0.1.0
 */
public record PlacementContext(
    String dataCentre, IntSupplier fleetSize, RandomGenerator random, VersionStops stops) {}
