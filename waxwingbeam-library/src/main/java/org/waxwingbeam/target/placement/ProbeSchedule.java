package org.waxwingbeam.target.placement;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an entry instance sends a status check to one target: when the latest load report is
 * so old that the machine may have become slow since. Every response carries a load report too, so
 * busy targets are hardly ever checked.
 */
final class ProbeSchedule {
  /**
   * Age at which a load report is out of date: the slowness of a shared machine changes several
   * times a second.
   */
  private static final long REPORT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * Upper bound of the checks that all entry instances together send to one target within one
   * report lifetime. They reach it only if they cannot exchange reports; each then repeats its
   * check at an interval that grows with its rank.
   */
  private static final double MAX_CHECKS_PER_LIFETIME = 2.5;

  /** Additional wait of each further entry instance, as a fraction of the report lifetime. */
  private static final double RANK_DELAY_FRACTION = 0.8;

  /** Highest rank that sends checks; a target that no rank up to it reaches is presumed lost. */
  private static final int MAX_RANK = 3;

  private static final double NANOS_PER_SECOND = 1e9;

  private final long lifetimeNanos;
  private boolean inFlight;
  private boolean everSent;
  private long lastStartNanos;

  /**
   * Creates a schedule.
   *
   * @param checksPerSecond checks that all entry instances together may send to the target
   */
  ProbeSchedule(double checksPerSecond) {
    long allowedNanos = (long) (MAX_CHECKS_PER_LIFETIME / checksPerSecond * NANOS_PER_SECOND);
    lifetimeNanos = Math.max(REPORT_LIFETIME_NANOS, allowedNanos);
  }

  /**
   * Returns whether a check is due.
   *
   * @param nowNanos the current time
   * @param reportAgeNanos age of the latest load report, or of the target itself if there is none
   * @param rank number of entry instances that are to check the target before this one
   */
  boolean isDue(long nowNanos, long reportAgeNanos, int rank) {
    boolean allowed = rank <= MAX_RANK && !inFlight;
    double dueAgeNanos = lifetimeNanos * (1 + rank * RANK_DELAY_FRACTION);
    return allowed && reportAgeNanos >= dueAgeNanos && isIntervalOver(nowNanos);
  }

  /** Returns whether a paused target may be checked again. */
  boolean mayCheckAgain(long nowNanos) {
    return !inFlight && isIntervalOver(nowNanos);
  }

  /** Returns whether a load report of the given age still describes the target. */
  static boolean isFresh(long reportAgeNanos) {
    return reportAgeNanos < REPORT_LIFETIME_NANOS;
  }

  /** Returns whether the response to a check is outstanding. */
  boolean isInFlight() {
    return inFlight;
  }

  private boolean isIntervalOver(long nowNanos) {
    return !everSent || nowNanos - lastStartNanos >= lifetimeNanos;
  }

  /** Records that a check is sent. */
  void recordStart(long nowNanos) {
    inFlight = true;
    everSent = true;
    lastStartNanos = nowNanos;
  }

  /** Records that the check has ended. */
  void recordEnd() {
    inFlight = false;
  }
}
