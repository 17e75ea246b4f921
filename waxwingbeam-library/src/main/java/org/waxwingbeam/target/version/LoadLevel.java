package org.waxwingbeam.target.version;

import org.waxwingbeam.target.LoadReport;

/**
 * The load of a target when it responded. Versions are compared at the same load level.
 *
 * @since 0.1.0
 */
public enum LoadLevel {
  /** Less than half of the slots were in use. */
  LOW,
  /** Half of the slots or more were in use, but not all. */
  BUSY,
  /** Every slot was in use. */
  FULL;

  /** Returns the level of the load that a target has reported. */
  public static LoadLevel of(LoadReport report) {
    return of(report.inFlight(), report.slots());
  }

  /** Returns the level of a target with a number of requests in flight. */
  public static LoadLevel of(int inFlight, int slots) {
    if (inFlight >= slots) {
      return FULL;
    }
    return 2 * inFlight >= slots ? BUSY : LOW;
  }
}
