package org.waxwingbeam.target.placement;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an entry instance checks the status of one target: when nothing has been learned of
 * its load for so long that its machine may have become slow meanwhile. Every request's answer
 * brings a report too, so busy targets are hardly ever checked.
 */
final class ProbeSchedule {
  /**
   * Age from which a report says little: the slowness of a shared machine changes several times a
   * second.
   */
  private static final long REPORT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * Checks of one target by all entry instances in one lifetime, if none of them hears of what the
   * others find: each waits a little longer than the one before it.
   */
  private static final double CHECKS_PER_LIFETIME = 2.5;

  /** Part of a lifetime that each further entry instance waits for the one before it. */
  private static final double STAND_IN_PART = 0.8;

  /** Entry instances that stand in at most; a target that none of them reaches is lost. */
  private static final int MAX_RANK = 3;

  private static final double NANOS_PER_SECOND = 1e9;

  private final long lifetimeNanos;
  private boolean underWay;
  private boolean begun;
  private long lastNanos;

  /**
   * Creates a timer.
   *
   * @param checksPerSecond checks that all entry instances together may send to the target
   */
  ProbeSchedule(double checksPerSecond) {
    long allowedNanos = (long) (CHECKS_PER_LIFETIME / checksPerSecond * NANOS_PER_SECOND);
    lifetimeNanos = Math.max(REPORT_LIFETIME_NANOS, allowedNanos);
  }

  /**
   * Returns whether a check is due.
   *
   * @param nowNanos the present time
   * @param reportAgeNanos age of the newest report, or of the target itself if there is none
   * @param rank entry instances that are to check the target before this one
   */
  boolean isDue(long nowNanos, long reportAgeNanos, int rank) {
    boolean mine = rank <= MAX_RANK && !underWay;
    double dueAgeNanos = lifetimeNanos * (1 + rank * STAND_IN_PART);
    return mine && reportAgeNanos >= dueAgeNanos && isRested(nowNanos);
  }

  /** Returns whether a target that could not be used may be checked again. */
  boolean mayCheckAgain(long nowNanos) {
    return !underWay && isRested(nowNanos);
  }

  private boolean isRested(long nowNanos) {
    return !begun || nowNanos - lastNanos >= lifetimeNanos;
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
