package org.waxwingbeam.target.version;

import org.waxwingbeam.target.LoadReport;

/**
 * Tells how busy a target was when it answered. Versions are compared at the same level.
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

  /** Returns the level that a target's report shows. */
  public static LoadLevel of(LoadReport report) {
    return of(report.inFlight(), report.slots());
  }

  /** Returns the level of a target that runs some requests at once. */
  public static LoadLevel of(int inFlight, int slots) {
    if (inFlight >= slots) {
      return FULL;
    }
    return 2 * inFlight >= slots ? BUSY : LOW;
  }
}
