package org.waxwingbeam.target.version;

import java.util.HashMap;
import java.util.Map;
import org.waxwingbeam.model.RouteName;

/**
 * Assigns an exact share of one service's requests at one entry instance to the new version. Not
 * thread-safe.
 *
 * <p>Each request adds the share to a credit, and a request that goes to the new version costs one
 * credit. The entry instances start with different credits, so that their requests add up to the
 * share even if each of them has few. While the version is unproven, rare routes get a larger share
 * at the expense of common routes, so that they have enough samples at about the same time; the
 * share of all requests stays the same.
 */
final class ShareCounter {
  private static final double PER_MILLE = 1_000;
  private static final double RARE_ROUTE_FRACTION = 0.05;
  private static final double RARE_ROUTE_FACTOR = 8;
  private static final double RARE_ROUTE_MAX_SHARE = 0.4;
  private static final int MIN_REQUESTS_FOR_RARE = 50;
  private static final double MAX_CREDIT = 2;
  private static final double MIN_CREDIT_FOR_RARE = -1;

  private final double phase;
  private final Map<RouteName, RouteCredit> routes = new HashMap<>();
  private double credit;
  private long requests;

  private static final class RouteCredit {
    private double credit;
    private long requests;

    RouteCredit(double credit) {
      this.credit = credit;
    }
  }

  /**
   * Creates a counter.
   *
   * @param phase offset of this entry instance's initial credit, 0 to 1; evenly distributed over
   *     the entry instances
   */
  ShareCounter(double phase) {
    this.phase = phase;
    this.credit = phase - 1;
  }

  /** Counts a request and returns whether it goes to the new version. */
  boolean next(RouteName route, int sharePerMille, boolean unproven) {
    double share = sharePerMille / PER_MILLE;
    requests++;
    credit = Math.min(credit + share, MAX_CREDIT);
    RouteCredit own = routes.computeIfAbsent(route, this::newCredit);
    own.requests++;
    boolean rare = unproven && isRare(own);
    double routeShare =
        rare ? Math.max(share, Math.min(share * RARE_ROUTE_FACTOR, RARE_ROUTE_MAX_SHARE)) : share;
    own.credit = Math.min(own.credit + routeShare, MAX_CREDIT);
    boolean allowed = credit >= (rare ? MIN_CREDIT_FOR_RARE : 0) || share >= 1;
    if (!allowed || own.credit < 1) {
      return false;
    }
    own.credit--;
    credit--;
    return true;
  }

  private boolean isRare(RouteCredit route) {
    return requests >= MIN_REQUESTS_FOR_RARE && route.requests < RARE_ROUTE_FRACTION * requests;
  }

  private RouteCredit newCredit(RouteName route) {
    double offset = Math.floorMod(route.value().hashCode(), (int) PER_MILLE) / PER_MILLE;
    return new RouteCredit((phase + offset) % 1);
  }
}
