package org.waxwingbeam.target.version;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.target.version.SampleDeltas.Delta;

/**
 * Canary analysis of one move: compares the new version with the old one by sequential tests. The
 * false-alarm rate over the whole move has a fixed bound, no matter how often the tests are
 * evaluated. Not thread-safe.
 *
 * <pre>{@code
 * analysis.addReport(report);
 * Optional<String> fault = analysis.tick(oldServes);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class CanaryAnalysis {
  /** Interval between two evaluations, in milliseconds. */
  public static final long TICK_MS = 250;

  /** Maximum probability that a good version raises an alarm during a whole move. */
  public static final double FALSE_ALARM_RATE = 0.001;

  private final double logTicks;
  private final SampleDeltas samples = new SampleDeltas();
  private final FailureRateComparison failureRates = new FailureRateComparison();
  private final LatencyComparison latencies = new LatencyComparison();
  private final SortedMap<RouteName, RouteSamples> routes = new TreeMap<>();

  /**
   * The number of requests of a route that each version has served.
   *
   * @param oldRequests requests that the old version has served
   * @param newRequests requests that the new version has served
   * @param newFailures requests that failed at the new version
   */
  public record RouteSamples(long oldRequests, long newRequests, long newFailures) {
    private static final RouteSamples NONE = new RouteSamples(0, 0, 0);

    private RouteSamples plus(Delta delta) {
      return delta.key().newVersion()
          ? new RouteSamples(
              oldRequests,
              newRequests + delta.counts().completed(),
              newFailures + delta.counts().failed())
          : new RouteSamples(oldRequests + delta.counts().completed(), newRequests, newFailures);
    }
  }

  /**
   * Creates the analysis of a move.
   *
   * @param move the move; its duration determines the thresholds
   * @param soakMs how long the analysis continues after the ramp-up, in milliseconds
   */
  public CanaryAnalysis(VersionMove move, long soakMs) {
    long durationMs = Math.max(TICK_MS, move.deadlineMs() - move.startMs() + soakMs);
    this.logTicks = Math.log((double) durationMs / TICK_MS);
  }

  /** Adds a report of an entry instance. */
  public void addReport(SampleReport report) {
    samples.add(report);
  }

  /**
   * Evaluates the reports since the last call; must be called every {@link #TICK_MS}.
   *
   * @param oldServes whether the old version still receives requests
   * @return the fault of the new version, or empty if none was found
   */
  public Optional<String> tick(boolean oldServes) {
    List<Delta> deltas = samples.drain();
    deltas.forEach(
        delta ->
            routes.merge(
                delta.key().route(),
                RouteSamples.NONE.plus(delta),
                (old, ignored) -> old.plus(delta)));
    failureRates.tick(deltas, oldServes);
    latencies.tick(deltas);
    double threshold = logThreshold();
    return failureRates
        .alarm(threshold)
        .map(where -> "fails more often than the old version: " + where)
        .or(
            () ->
                latencies
                    .alarm(threshold)
                    .map(where -> "answers more slowly than the old version: " + where));
  }

  /** Returns the number of requests that each version has served, by route. */
  public SortedMap<RouteName, RouteSamples> routes() {
    return new TreeMap<>(routes);
  }

  private double logThreshold() {
    int tests = failureRates.hypothesisTests() + latencies.hypothesisTests();
    return logTicks + Math.log(tests) - Math.log(FALSE_ALARM_RATE);
  }
}
