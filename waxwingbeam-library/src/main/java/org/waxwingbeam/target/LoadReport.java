package org.waxwingbeam.target;

/**
 * Holds what a target says of its own load. It may lag behind or mislead.
 *
 * @param inFlight requests that it runs now
 * @param queued requests that wait there
 * @param slots requests that it can run at once
 * @since 0.1.0
 */
public record LoadReport(int inFlight, int queued, int slots) {}
