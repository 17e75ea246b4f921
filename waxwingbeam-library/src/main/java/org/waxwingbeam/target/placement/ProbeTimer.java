package org.waxwingbeam.target.placement;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an entry instance checks the status of one target: when nothing has been learned of
 * its load for so long that its machine may have become slow meanwhile. Every request's answer
 * brings a report too, so busy targets are hardly ever checked.
 */
final class ProbeTimer {
  /**
   * Age from which a report says little: the slowness of a shared machine changes several times a
   * second.
   */
  private static final long REPORT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Time that each further entry instance waits for the one before it to bring a report. */
  private static final long STAND_IN_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** Entry instances that stand in at most; a target that none of them reaches is lost. */
  private static final int MAX_RANK = 3;

  private boolean underWay;
  private boolean begun;
  private long lastNanos;

  /**
   * Returns whether a check is due.
   *
   * @param nowNanos the present time
   * @param reportAgeNanos age of the newest report, or of the target itself if there is none
   * @param rank entry instances that are to check the target before this one
   */
  boolean isDue(long nowNanos, long reportAgeNanos, int rank) {
    boolean mine = rank <= MAX_RANK && !underWay;
    return mine
        && reportAgeNanos >= REPORT_LIFETIME_NANOS + rank * STAND_IN_NANOS
        && isRested(nowNanos);
  }

  /** Returns whether a target that could not be used may be checked again. */
  boolean mayCheckAgain(long nowNanos) {
    return !underWay && isRested(nowNanos);
  }

  private boolean isRested(long nowNanos) {
    return !begun || nowNanos - lastNanos >= REPORT_LIFETIME_NANOS;
  }

  /** Notes that a check is sent. */
  void begin(long nowNanos) {
    underWay = true;
    begun = true;
    lastNanos = nowNanos;
  }

  /** Notes that the check has ended. */
  void end() {
    underWay = false;
  }
}
