package org.waxwingbeam.target.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.target.LoadReport;

/** Moving averages over the targets of a service, for what is not known of a single target. */
final class ServiceAverages {
  /** Weight of the latest report or response. */
  private static final double LATEST_WEIGHT = 0.05;

  private static final double USUAL = LoadReport.USUAL_SLOWNESS_PERCENT;

  /** Response time by route, at a target of usual speed. */
  private final Map<RouteName, Double> usualNanos = new HashMap<>();

  private double slowness = 1;
  private double requestsOfOthers;

  /**
   * Records a load report.
   *
   * @param ownRequests requests of this entry instance that the report includes
   */
  void recordReport(LoadReport report, int ownRequests) {
    double reported = Math.max(1, report.slownessPercent() / USUAL);
    slowness = averaged(slowness, reported);
    double others = Math.max(0, report.inFlight() + report.queued() - ownRequests);
    requestsOfOthers = averaged(requestsOfOthers, others);
  }

  /**
   * Records a successful response.
   *
   * @param targetSlowness the slowness of its target
   */
  void recordResponse(RouteName route, long responseNanos, double targetSlowness) {
    usualNanos.merge(route, responseNanos / Math.max(1, targetSlowness), ServiceAverages::averaged);
  }

  /** Returns a moving average after its latest value. */
  static double averaged(double average, double latest) {
    return average + LATEST_WEIGHT * (latest - average);
  }

  /** Returns the slowness: 1 at the usual speed, 2 if requests take twice as long. */
  double slowness() {
    return slowness;
  }

  /** Returns the number of requests of other entry instances at a target. */
  double requestsOfOthers() {
    return requestsOfOthers;
  }

  /** Returns the usual response time of a route, or empty if there has been no response. */
  Optional<Double> usualNanos(RouteName route) {
    return Optional.ofNullable(usualNanos.get(route));
  }
}
