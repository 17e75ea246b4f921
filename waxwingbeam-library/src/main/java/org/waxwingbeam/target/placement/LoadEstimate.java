package org.waxwingbeam.target.placement;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.target.LoadReport;

/**
 * Estimates the load and the slowness of one target from its newest report. A report loses its
 * weight with age: the older it is, the more the estimate goes back to the average of the service.
 */
final class LoadEstimate {
  /** Age at which a report of slowness has lost two thirds of its weight. */
  private static final double SLOWNESS_MEMORY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Age at which a report of other entry instances' requests has lost two thirds of its weight. */
  private static final double LOAD_MEMORY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private static final double USUAL = LoadReport.USUAL_SLOWNESS_PERCENT;

  private long reportNanos;
  private boolean reported;
  private double others;
  private double slowness = 1;
  private double begun;
  private long begunNanos;

  /**
   * Takes in a report.
   *
   * @param nowNanos when the target made it
   * @param report the report
   * @param ownInFlight requests of this entry instance that the report counts
   */
  void note(long nowNanos, LoadReport report, int ownInFlight) {
    if (reported && nowNanos - reportNanos < 0) {
      return;
    }
    reported = true;
    reportNanos = nowNanos;
    begun = 0;
    others = Math.max(0, report.inFlight() + report.queued() - ownInFlight);
    slowness = Math.max(1, report.slownessPercent() / USUAL);
  }

  /** Takes in that others have begun requests there since the newest report. */
  void noteBegun(long nowNanos, int requests) {
    begun = begun * begunWeight(nowNanos) + requests;
    begunNanos = nowNanos;
  }

  /** Returns the requests of other entry instances that are probably at the target. */
  double others(long nowNanos, double average) {
    double weight = weight(nowNanos, LOAD_MEMORY_NANOS);
    return others * weight + average * (1 - weight) + begun * begunWeight(nowNanos);
  }

  /** Returns how many times as long as usual work probably takes. */
  double slowness(long nowNanos, double average) {
    double weight = weight(nowNanos, SLOWNESS_MEMORY_NANOS);
    return slowness * weight + average * (1 - weight);
  }

  /** Returns the age of the newest report. */
  Optional<Long> reportAgeNanos(long nowNanos) {
    return reported ? Optional.of(nowNanos - reportNanos) : Optional.empty();
  }

  private double begunWeight(long nowNanos) {
    return begun == 0 ? 0 : Math.exp(-Math.max(0, nowNanos - begunNanos) / LOAD_MEMORY_NANOS);
  }

  private double weight(long nowNanos, double memoryNanos) {
    return reported ? Math.exp(-Math.max(0, nowNanos - reportNanos) / memoryNanos) : 0;
  }
}
