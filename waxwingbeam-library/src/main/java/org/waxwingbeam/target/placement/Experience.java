package org.waxwingbeam.target.placement;

/**
 * Tells how an attempt at a target ended, for other entry instances.
 *
 * @param pace its time as a multiple of what is usual for its route
 * @param answered whether it was answered
 * @param failed whether it failed at the target
 * @since 0.1.0
 */
public record Experience(double pace, boolean answered, boolean failed) {}
