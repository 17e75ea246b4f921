package org.waxwingbeam.tools.measure.versions;

import java.util.SplittableRandom;

/**
 * The fault of a new version.
 *
 * @param failRate share of the affected requests that fail immediately
 * @param slowFactor factor on the service time of the affected requests
 * @param crashRate share of the affected requests that crash their target
 * @param startMs when the fault begins, in milliseconds since the start of the move
 * @param minInFlight number of concurrent requests at the target from which the fault appears
 * @param onlyRoute index of the affected route, or -1 for all routes
 */
record VersionFault(
    double failRate,
    double slowFactor,
    double crashRate,
    long startMs,
    int minInFlight,
    int onlyRoute) {
  static final VersionFault NONE = new VersionFault(0, 1, 0, Long.MAX_VALUE, 0, -1);

  private static final int ALL_ROUTES = -1;

  static VersionFault of(MoveKind kind, SplittableRandom random, long lastStartMs, int rareRoute) {
    long lateStartMs = random.nextLong(lastStartMs / 10, lastStartMs);
    double failRate = random.nextDouble(0.3, 1);
    double slowFactor = random.nextDouble(4, 8);
    return switch (kind) {
      case GOOD,
          GOOD_COLD,
          GOOD_NOISY,
          GOOD_DATA_CENTRE_LEAVES,
          GOOD_LEADER_KILLED,
          GOOD_ENTRIES_CUT_OFF ->
          NONE;
      case FAILS_AT_ONCE, TWO_SERVICES -> new VersionFault(failRate, 1, 0, 0, 0, ALL_ROUTES);
      case FAILS_LATE, BAD_ENTRIES_CUT_OFF, BAD_LEADER_KILLED ->
          new VersionFault(failRate, 1, 0, lateStartMs, 0, ALL_ROUTES);
      case SLOW_AT_ONCE -> new VersionFault(0, slowFactor, 0, 0, 0, ALL_ROUTES);
      case SLOW_LATE -> new VersionFault(0, slowFactor, 0, lateStartMs, 0, ALL_ROUTES);
      case BAD_ABOVE_LOAD ->
          random.nextBoolean()
              ? new VersionFault(failRate, 1, 0, 0, ModelTarget.SLOTS, ALL_ROUTES)
              : new VersionFault(0, slowFactor, 0, 0, ModelTarget.SLOTS, ALL_ROUTES);
      case BAD_ON_ONE_ROUTE -> new VersionFault(1, 1, 0, 0, 0, rareRoute);
      case CRASHES -> new VersionFault(0, 1, random.nextDouble(0.05, 0.2), 0, 0, ALL_ROUTES);
    };
  }

  boolean affects(long nowMs, int route, int inFlight) {
    return nowMs >= startMs
        && inFlight >= minInFlight
        && (onlyRoute == ALL_ROUTES || onlyRoute == route);
  }
}
