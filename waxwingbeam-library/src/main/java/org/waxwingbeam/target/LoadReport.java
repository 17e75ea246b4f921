package org.waxwingbeam.target;

/**
 * Holds what a target says of its own load. It may lag behind or mislead.
 *
 * @param inFlight requests that it runs now
 * @param queued requests that wait there
 * @param slots requests that it can run at once
 * @param slownessPercent how long work takes there now, in hundredths of the usual
 * @since 0.1.0
 */
public record LoadReport(int inFlight, int queued, int slots, int slownessPercent) {
  /** The slowness of a target that works as usual. */
  public static final int USUAL_SLOWNESS_PERCENT = 100;

  /** Creates a report of a target that says nothing of its slowness. */
  public LoadReport(int inFlight, int queued, int slots) {
    this(inFlight, queued, slots, USUAL_SLOWNESS_PERCENT);
  }
}
