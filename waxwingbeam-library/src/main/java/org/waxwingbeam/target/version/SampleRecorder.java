package org.waxwingbeam.target.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Supplier;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.model.VersionMove.State;
import org.waxwingbeam.target.version.Observation.Verdict;

/**
 * Counts the outcomes of the requests of version moves at one entry instance, and stops a new
 * version immediately when it clearly fails.
 *
 * <p>Thread-safe. The counts of each service are guarded by their own lock; no other lock is
 * acquired while it is held.
 *
 * <pre>{@code
 * recorder.record(now, observation);
 * recorder.drain(now).forEach(leader::send);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class SampleRecorder {
  /** Maximum time between a change of the counts and its report, in nanoseconds. */
  public static final long REPORT_INTERVAL_NANOS = 200_000_000;

  /** Maximum time between two reports on an unfinished move, in nanoseconds. */
  public static final long HEARTBEAT_NANOS = 1_000_000_000;

  private static final String LOCAL_STOP_REASON = "the new version failed at one entry instance";

  private final InstanceName entry;
  private final Supplier<Configuration> configuration;
  private final MoveSelector selector;
  private final ConcurrentMap<ServiceName, MoveRecord> samples = new ConcurrentHashMap<>();

  /**
   * Creates a recorder.
   *
   * @param entry the name of this entry instance
   * @param configuration supplies the configuration that this entry instance applies
   * @param selector stops a new version that clearly fails
   */
  public SampleRecorder(
      InstanceName entry, Supplier<Configuration> configuration, MoveSelector selector) {
    this.entry = entry;
    this.configuration = configuration;
    this.selector = selector;
  }

  /** Returns whether a service has an unfinished move. */
  public boolean isRecording(ServiceName service) {
    VersionMove move = configuration.get().moves().get(service);
    return move != null && isUnfinished(move);
  }

  /** Counts the outcome of one attempt. Does nothing if the service has no unfinished move. */
  public void record(long nowNanos, Observation observation) {
    VersionMove move = configuration.get().moves().get(observation.service());
    if (move == null || !isUnfinished(move) || observation.verdict() == Verdict.NONE) {
      return;
    }
    if (samplesFor(move).record(nowNanos, observation)) {
      selector.stop(move, LOCAL_STOP_REASON);
    }
  }

  /**
   * Returns the reports that are due: {@link #REPORT_INTERVAL_NANOS} after the previous report if
   * counts have changed, {@link #HEARTBEAT_NANOS} after it if not, and immediately after a failure
   * of a new version.
   */
  public List<SampleReport> drain(long nowNanos) {
    return configuration.get().moves().values().stream()
        .filter(SampleRecorder::isUnfinished)
        .map(this::samplesFor)
        .map(each -> each.drain(nowNanos))
        .flatMap(Optional::stream)
        .toList();
  }

  /** Includes all counts in the next reports, for a leader that has not received earlier ones. */
  public void resendAll() {
    samples.values().forEach(MoveRecord::resendAll);
  }

  private MoveRecord samplesFor(VersionMove move) {
    return samples.compute(
        move.service(),
        (service, old) ->
            old != null && old.move.startMs() == move.startMs() ? old : new MoveRecord(move));
  }

  private static boolean isUnfinished(VersionMove move) {
    return move.state() == State.RUNNING || move.state() == State.SOAKING;
  }

  /** The counts of one move, guarded by its own lock. */
  private final class MoveRecord {
    private final VersionMove move;
    private final LocalStopRule localStop = new LocalStopRule();
    private final Map<SampleKey, Counter> counters = new HashMap<>();
    private boolean changed;
    private boolean urgent;
    private long reportedNanos;

    MoveRecord(VersionMove move) {
      this.move = move;
    }

    synchronized boolean record(long nowNanos, Observation observation) {
      boolean newVersion = observation.version().equals(move.to());
      if (!newVersion && !observation.version().equals(move.from())) {
        return false;
      }
      boolean failed = observation.verdict() == Verdict.FAILURE;
      SampleKey key = key(observation, newVersion);
      Counter counter = counters.computeIfAbsent(key, absent -> new Counter());
      counter.add(failed, observation.unqueuedNanos());
      changed = true;
      urgent |= newVersion && failed;
      if (newVersion) {
        return localStop.addNewVersionResponse(nowNanos, key.targetGroup(), failed);
      }
      localStop.addOldVersionResponse(failed);
      return false;
    }

    synchronized Optional<SampleReport> drain(long nowNanos) {
      long interval = changed ? REPORT_INTERVAL_NANOS : HEARTBEAT_NANOS;
      if (!urgent && nowNanos - reportedNanos < interval) {
        return Optional.empty();
      }
      Map<SampleKey, SampleCounts> counts = new HashMap<>();
      counters.forEach((key, counter) -> counter.drainTo(key, counts));
      changed = false;
      urgent = false;
      reportedNanos = nowNanos;
      String stopped = selector.stopReason(move).orElse("");
      return Optional.of(new SampleReport(entry, move.service(), move.startMs(), counts, stopped));
    }

    synchronized void resendAll() {
      changed = true;
      urgent = true;
      counters.values().forEach(counter -> counter.changed = true);
    }

    private SampleKey key(Observation observation, boolean newVersion) {
      LoadLevel level = observation.report().map(LoadLevel::of).orElse(LoadLevel.FULL);
      int targetGroup =
          newVersion
              ? Math.floorMod(observation.target().toString().hashCode(), SampleKey.TARGET_GROUPS)
              : 0;
      return new SampleKey(observation.route(), newVersion, level, targetGroup);
    }
  }

  /** The counts for one key. */
  private static final class Counter {
    private final LatencyCounts latencies = new LatencyCounts();
    private long completed;
    private long failed;
    private boolean changed;

    void add(boolean failure, long latencyNanos) {
      completed++;
      changed = true;
      if (failure) {
        failed++;
      } else {
        latencies.record(latencyNanos);
      }
    }

    void drainTo(SampleKey key, Map<SampleKey, SampleCounts> counts) {
      if (changed) {
        counts.put(key, new SampleCounts(completed, failed, latencies.copy()));
        changed = false;
      }
    }
  }
}
