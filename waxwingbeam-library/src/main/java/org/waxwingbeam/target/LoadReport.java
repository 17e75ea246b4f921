package org.waxwingbeam.target;

/**
 * Load that a target reports of itself. A report may be out of date or wrong.
 *
 * @param inFlight requests that the target is running
 * @param queued requests that wait at the target
 * @param slots requests that the target can run concurrently
 * @param slownessPercent current service time at the target, in percent of the usual one
 * @since 0.1.0
 */
public record LoadReport(int inFlight, int queued, int slots, int slownessPercent) {
  /** Slowness of a target whose service time is the usual one. */
  public static final int USUAL_SLOWNESS_PERCENT = 100;

  /** Creates a report of a target that does not report its slowness. */
  public LoadReport(int inFlight, int queued, int slots) {
    this(inFlight, queued, slots, USUAL_SLOWNESS_PERCENT);
  }
}
