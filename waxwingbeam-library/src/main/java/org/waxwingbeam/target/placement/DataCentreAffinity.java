package org.waxwingbeam.target.placement;

import java.util.HashMap;
import java.util.Map;
import org.waxwingbeam.model.RouteName;

/**
 * Decides how much better a target of another data centre must be than one of the entry instance's
 * own. The links between data centres are slower and dearer, so the advantage grows with the bytes
 * that requests and responses of the route transfer: a lookup may go anywhere at any load, a large
 * upload or download only if the targets of the own data centre are slow or full.
 */
final class DataCentreAffinity {
  /** Factor for a route that transfers next to nothing. */
  private static final double MIN_FACTOR = 1.04;

  /**
   * The same in a large fleet, where targets are selected by their status at that moment: another
   * data centre is worth its traffic only if the checked targets of this one are slow or full.
   */
  private static final double MIN_CHECKED_FACTOR = 1.25;

  /** Added to the factor for a route that transfers {@link #LARGE_BYTES} or more. */
  private static final double LARGE_ADDITION = 2;

  private static final double LARGE_BYTES = 64 << 10;

  private final Map<RouteName, Double> averageBytes = new HashMap<>();

  /**
   * Records the bytes that an exchange of a route transferred in both directions.
   *
   * @param bytes the length of both bodies
   */
  void record(RouteName route, long bytes) {
    averageBytes.merge(route, (double) bytes, ServiceAverages::averaged);
  }

  /**
   * Returns the factor on the score of targets in other data centres.
   *
   * @param reportsReachAll whether targets are selected by shared reports, not checked on demand
   */
  double factor(RouteName route, boolean reportsReachAll) {
    double bytes = averageBytes.getOrDefault(route, 0.0);
    return (reportsReachAll ? MIN_FACTOR : MIN_CHECKED_FACTOR)
        + LARGE_ADDITION * Math.min(1, bytes / LARGE_BYTES);
  }
}
