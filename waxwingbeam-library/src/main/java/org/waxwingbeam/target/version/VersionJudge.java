package org.waxwingbeam.target.version;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.target.version.TickEvidence.Delta;

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
public final class VersionJudge {
  /** Interval at which evidence is judged, in milliseconds. */
  public static final long TICK_MS = 250;

  /** Greatest probability that a good version raises an alarm during a whole move. */
  public static final double FALSE_ALARM_RATE = 0.001;

  private final double logTicks;
  private final TickEvidence evidence = new TickEvidence();
  private final FailureTest failures = new FailureTest();
  private final SlownessTest slowness = new SlownessTest();
  private final SortedMap<RouteName, RouteEvidence> routes = new TreeMap<>();

  /**
   * How often a route was served by each version.
   *
   * @param old requests that the old version has answered
   * @param fresh requests that the new version has answered
   * @param freshFailed those of them that failed
   */
  public record RouteEvidence(long old, long fresh, long freshFailed) {
    private static final RouteEvidence NONE = new RouteEvidence(0, 0, 0);

    private RouteEvidence plus(Delta delta) {
      return delta.key().fresh()
          ? new RouteEvidence(
              old, fresh + delta.counts().ran(), freshFailed + delta.counts().failed())
          : new RouteEvidence(old + delta.counts().ran(), fresh, freshFailed);
    }
  }

  /**
   * Creates a judge.
   *
   * @param move the move; its duration sets the thresholds
   * @param soakMs how long the new version is watched after the move, in milliseconds
   */
  public VersionJudge(VersionMove move, long soakMs) {
    long durationMs = Math.max(TICK_MS, move.deadlineMs() - move.startMs() + soakMs);
    this.logTicks = Math.log((double) durationMs / TICK_MS);
  }

  /** Takes the totals of one entry instance. */
  public void observe(EvidenceReport report) {
    evidence.add(report);
  }

  /**
   * Judges what has been observed since the last call; to be called every {@link #TICK_MS}.
   *
   * @param oldServes whether the old version still receives requests
   * @return what is wrong with the new version, or empty
   */
  public Optional<String> tick(boolean oldServes) {
    List<Delta> deltas = evidence.take();
    deltas.forEach(
        delta ->
            routes.merge(
                delta.key().route(),
                RouteEvidence.NONE.plus(delta),
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
  public SortedMap<RouteName, RouteEvidence> routes() {
    return new TreeMap<>(routes);
  }

  private double logThreshold() {
    int comparisons = failures.comparisons() + slowness.comparisons();
    return logTicks + Math.log(comparisons) - Math.log(FALSE_ALARM_RATE);
  }
}
