package org.waxwingbeam.target.version;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.target.version.SampleDeltas.Delta;

/**
 * Judges the new version of one move against the old one, by sequential tests whose false-alarm
 * rate over the whole move is stated, however often they are looked at. Not safe for use by several
 * threads.
 *
 * <pre>{@code
 * judge.observe(report);
 * Optional<String> fault = judge.tick(oldServes);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class CanaryAnalysis {
  /** Interval at which evidence is judged, in milliseconds. */
  public static final long TICK_MS = 250;

  /** Greatest probability that a good version raises an alarm during a whole move. */
  public static final double FALSE_ALARM_RATE = 0.001;

  private final double logTicks;
  private final SampleDeltas samples = new SampleDeltas();
  private final FailureRateComparison failures = new FailureRateComparison();
  private final LatencyComparison slowness = new LatencyComparison();
  private final SortedMap<RouteName, RouteSamples> routes = new TreeMap<>();

  /**
   * How often a route was served by each version.
   *
   * @param oldRequests requests that the old version has answered
   * @param newRequests requests that the new version has answered
   * @param newFailures those of them that failed
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
   * Creates a judge.
   *
   * @param move the move; its duration sets the thresholds
   * @param soakMs how long the new version is watched after the move, in milliseconds
   */
  public CanaryAnalysis(VersionMove move, long soakMs) {
    long durationMs = Math.max(TICK_MS, move.deadlineMs() - move.startMs() + soakMs);
    this.logTicks = Math.log((double) durationMs / TICK_MS);
  }

  /** Takes the totals of one entry instance. */
  public void observe(SampleReport report) {
    samples.add(report);
  }

  /**
   * Judges what has been observed since the last call; to be called every {@link #TICK_MS}.
   *
   * @param oldServes whether the old version still receives requests
   * @return what is wrong with the new version, or empty
   */
  public Optional<String> tick(boolean oldServes) {
    List<Delta> deltas = samples.take();
    deltas.forEach(
        delta ->
            routes.merge(
                delta.key().route(),
                RouteSamples.NONE.plus(delta),
                (old, ignored) -> old.plus(delta)));
    failures.tick(deltas, oldServes);
    slowness.tick(deltas);
    double threshold = logThreshold();
    return failures
        .alarm(threshold)
        .map(where -> "fails more often than the old version: " + where)
        .or(
            () ->
                slowness
                    .alarm(threshold)
                    .map(where -> "answers more slowly than the old version: " + where));
  }

  /** Returns what has been served of each route. */
  public SortedMap<RouteName, RouteSamples> routes() {
    return new TreeMap<>(routes);
  }

  private double logThreshold() {
    int comparisons = failures.comparisons() + slowness.comparisons();
    return logTicks + Math.log(comparisons) - Math.log(FALSE_ALARM_RATE);
  }
}
