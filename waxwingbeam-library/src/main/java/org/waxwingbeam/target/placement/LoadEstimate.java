package org.waxwingbeam.target.placement;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.target.LoadReport;

/**
 * Estimates the load and the slowness of one target from its latest load report. The weight of a
 * report decays exponentially with its age, and the estimate approaches the average of the service.
 */
final class LoadEstimate {
  /** Time constant of the decay of reported slowness: after it, a third of the weight is left. */
  private static final double SLOWNESS_DECAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Time constant of the decay of the number of other entry instances' requests. */
  private static final double LOAD_DECAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private static final double USUAL = LoadReport.USUAL_SLOWNESS_PERCENT;

  private long reportNanos;
  private boolean reported;
  private double requestsOfOthers;
  private double slowness = 1;
  private double remoteRequests;
  private long remoteRequestsNanos;

  /**
   * Applies a load report. Does nothing if a later one has been applied.
   *
   * @param nowNanos when the target created the report
   * @param report the report
   * @param ownInFlight requests of this entry instance that the report includes
   */
  void applyReport(long nowNanos, LoadReport report, int ownInFlight) {
    if (reported && nowNanos - reportNanos < 0) {
      return;
    }
    reported = true;
    reportNanos = nowNanos;
    remoteRequests = 0;
    requestsOfOthers = Math.max(0, report.inFlight() + report.queued() - ownInFlight);
    slowness = Math.max(1, report.slownessPercent() / USUAL);
  }

  /** Adds requests that other entry instances have sent to the target since the latest report. */
  void addRemoteRequests(long nowNanos, int requests) {
    remoteRequests = remoteRequests * remoteRequestsWeight(nowNanos) + requests;
    remoteRequestsNanos = nowNanos;
  }

  /** Returns the estimated number of requests of other entry instances at the target. */
  double requestsOfOthers(long nowNanos, double average) {
    double weight = weight(nowNanos, LOAD_DECAY_NANOS);
    return requestsOfOthers * weight
        + average * (1 - weight)
        + remoteRequests * remoteRequestsWeight(nowNanos);
  }

  /** Returns the estimated slowness: 1 at the usual speed, 2 if requests take twice as long. */
  double slowness(long nowNanos, double average) {
    double weight = weight(nowNanos, SLOWNESS_DECAY_NANOS);
    return slowness * weight + average * (1 - weight);
  }

  /** Returns the age of the latest report, or empty if there is none. */
  Optional<Long> reportAgeNanos(long nowNanos) {
    return reported ? Optional.of(nowNanos - reportNanos) : Optional.empty();
  }

  private double remoteRequestsWeight(long nowNanos) {
    return remoteRequests == 0
        ? 0
        : Math.exp(-Math.max(0, nowNanos - remoteRequestsNanos) / LOAD_DECAY_NANOS);
  }

  private double weight(long nowNanos, double decayNanos) {
    return reported ? Math.exp(-Math.max(0, nowNanos - reportNanos) / decayNanos) : 0;
  }
}
