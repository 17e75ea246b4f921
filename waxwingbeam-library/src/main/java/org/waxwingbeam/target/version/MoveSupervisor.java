package org.waxwingbeam.target.version;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.model.VersionMove.State;
import org.waxwingbeam.target.version.CanaryAnalysis.RouteSamples;

/**
 * Controls one version move at the leader of the control replicas: raises the share according to
 * the canary analysis, soaks and finishes the move, or rolls it back. Its decisions become changes
 * of the configuration. A new leader creates a new supervisor from the accepted move and the totals
 * of the entry instances. Not thread-safe.
 *
 * <pre>{@code
 * supervisor.addReport(nowMs, report);
 * switch (supervisor.tick(nowMs, acceptedMove, liveEntries)) {
 *   case MoveDecision.NoChange noChange -> {}
 *   case MoveDecision.Advance advance -> propose(advance);
 *   case MoveDecision.RollBack rollBack -> propose(rollBack);
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class MoveSupervisor {
  /** Requests of each route that the new version must have served before its share may rise. */
  public static final long MIN_ROUTE_SAMPLES = 30;

  private static final long MAX_REPORT_AGE_MS = 3_000;
  private static final int WHOLE_PER_MILLE = 1_000;

  private final VersionMove initialMove;
  private final MoveParameters parameters;
  private final RampSchedule schedule;
  private final CanaryAnalysis analysis;
  private final Map<InstanceName, Long> lastReportMs = new HashMap<>();
  private Optional<String> fault = Optional.empty();
  private int share = -1;
  private State state = State.RUNNING;
  private long shareSinceMs;

  /**
   * Creates a supervisor.
   *
   * @param move the accepted move
   * @param parameters the move parameters of the service's template
   * @param nowMs the time, in milliseconds since the epoch
   */
  public MoveSupervisor(VersionMove move, MoveParameters parameters, long nowMs) {
    this.initialMove = move;
    this.parameters = parameters;
    this.schedule = new RampSchedule(move, parameters.unprovenPerMille());
    this.analysis = new CanaryAnalysis(move, parameters.soakMs());
    this.shareSinceMs = nowMs;
  }

  /** Adds a report of an entry instance. Does nothing if it is about another move. */
  public void addReport(long nowMs, SampleReport report) {
    if (report.moveStartMs() != initialMove.startMs()) {
      return;
    }
    lastReportMs.put(report.entry(), nowMs);
    analysis.addReport(report);
    if (!report.stopReason().isEmpty() && fault.isEmpty()) {
      fault = Optional.of(report.stopReason() + ": " + report.entry());
    }
  }

  /**
   * Decides on the next action; must be called every {@link CanaryAnalysis#TICK_MS}.
   *
   * @param nowMs the time, in milliseconds since the epoch
   * @param move the accepted state of the move
   * @param liveEntries number of live entry instances
   */
  public MoveDecision tick(long nowMs, VersionMove move, int liveEntries) {
    if (move.sharePerMille() != share || move.state() != state) {
      share = move.sharePerMille();
      state = move.state();
      shareSinceMs = nowMs;
    }
    Optional<String> alarm = analysis.tick(share < WHOLE_PER_MILLE);
    fault = fault.or(() -> alarm);
    return switch (move.state()) {
      case RUNNING -> decideRunning(nowMs, liveEntries);
      case SOAKING -> decideSoaking(nowMs);
      case FINISHED, ROLLED_BACK -> new MoveDecision.NoChange();
    };
  }

  /** Returns the number of requests that each version has served, by route. */
  public Map<RouteName, RouteSamples> samples() {
    return analysis.routes();
  }

  /**
   * Returns why the move will probably not finish by its deadline, or empty if no reason is known.
   *
   * @param nowMs the time, in milliseconds since the epoch
   */
  public Optional<String> deadlineRisk(long nowMs) {
    long elapsedMs = Math.max(1, nowMs - initialMove.startMs());
    double growth =
        Math.max(1, (double) (schedule.rampStartMs() - initialMove.startMs()) / elapsedMs);
    return unprovenRoute()
        .filter(route -> newRequests(route) * growth < MIN_ROUTE_SAMPLES)
        .map(
            route ->
                "route %s: %d of %d requests seen, about %d expected before the share must rise"
                    .formatted(
                        route,
                        newRequests(route),
                        MIN_ROUTE_SAMPLES,
                        (long) (newRequests(route) * growth)));
  }

  private MoveDecision decideRunning(long nowMs, int liveEntries) {
    if (fault.isPresent()) {
      return new MoveDecision.RollBack("the new version " + fault.get());
    }
    if (nowMs >= initialMove.deadlineMs()) {
      return new MoveDecision.RollBack(deadlineReason(nowMs, liveEntries));
    }
    if (!hasCurrentReports(nowMs, liveEntries) && share > 0) {
      return new MoveDecision.NoChange();
    }
    int next =
        unprovenRoute().isPresent() || share < parameters.unprovenPerMille()
            ? Math.max(share, schedule.unprovenShare())
            : schedule.provenShare(nowMs, share, shareSinceMs);
    if (next == share) {
      return new MoveDecision.NoChange();
    }
    return new MoveDecision.Advance(next, next == WHOLE_PER_MILLE ? State.SOAKING : State.RUNNING);
  }

  private MoveDecision decideSoaking(long nowMs) {
    if (fault.isPresent()) {
      return new MoveDecision.RollBack("the new version " + fault.get());
    }
    return nowMs - shareSinceMs >= parameters.soakMs()
        ? new MoveDecision.Advance(WHOLE_PER_MILLE, State.FINISHED)
        : new MoveDecision.NoChange();
  }

  private String deadlineReason(long nowMs, int liveEntries) {
    String cause =
        unprovenRoute()
            .map(
                route ->
                    "route %s has %d of %d requests"
                        .formatted(route, newRequests(route), MIN_ROUTE_SAMPLES))
            .orElse(
                hasCurrentReports(nowMs, liveEntries)
                    ? "the share is %d per mille".formatted(share)
                    : "too few entry instances report");
    return "the deadline has come: " + cause;
  }

  /** Returns the route with the fewest requests at the new version if they are too few. */
  private Optional<RouteName> unprovenRoute() {
    Map<RouteName, RouteSamples> routes = analysis.routes();
    if (routes.isEmpty()) {
      return Optional.of(new RouteName("any"));
    }
    List<RouteName> unproven =
        routes.entrySet().stream()
            .filter(entry -> entry.getValue().newRequests() < MIN_ROUTE_SAMPLES)
            .min(Comparator.comparingLong(entry -> entry.getValue().newRequests()))
            .map(entry -> List.of(entry.getKey()))
            .orElse(List.of());
    return unproven.stream().findFirst();
  }

  private long newRequests(RouteName route) {
    RouteSamples routeSamples = analysis.routes().get(route);
    return routeSamples == null ? 0 : routeSamples.newRequests();
  }

  /** Returns whether most live entry instances have reported within the maximum report age. */
  private boolean hasCurrentReports(long nowMs, int liveEntries) {
    long current =
        lastReportMs.values().stream().filter(each -> nowMs - each <= MAX_REPORT_AGE_MS).count();
    return 2 * current > liveEntries;
  }
}
