package org.waxwingbeam.tools.testing;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.Decision;

/**
 * Counts the outcomes of the requests to a simulated fleet.
 *
 * @since 0.1.0
 */
public final class FleetRecord {
  private static final long MAX_LATENCY_MICROS = 60_000_000;

  private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 3);
  private final Map<ErrorKind, Long> refusals = new EnumMap<>(ErrorKind.class);
  private final Map<TargetId, Long> attempts = new TreeMap<>();
  private long failures;
  private long probeNanos;
  private boolean recording = true;

  /** Returns the latencies of successful responses, in microseconds. */
  public Histogram latencyMicros() {
    return latencyMicros;
  }

  /** Returns the number of refused requests by error kind. */
  public Map<ErrorKind, Long> refusals() {
    return refusals;
  }

  /** Returns the number of attempts by target. */
  public Map<TargetId, Long> attempts() {
    return attempts;
  }

  /** Returns the number of requests that failed at a target. */
  public long failures() {
    return failures;
  }

  /** Turns counting on or off, for instance off while the fleet starts. */
  public void setRecording(boolean on) {
    recording = on;
  }

  /** Returns the number of requests that have ended: successful, failed and refused. */
  public long total() {
    return latencyMicros.getTotalCount() + failures + refused();
  }

  /** Returns the number of refused requests. */
  public long refused() {
    return refusals.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the service time that targets have spent on probes, in nanoseconds. */
  public long probeServiceNanos() {
    return probeNanos;
  }

  /** Adds the counts of another run. */
  public void add(FleetRecord other) {
    latencyMicros.add(other.latencyMicros);
    other.refusals.forEach((kind, count) -> refusals.merge(kind, count, Long::sum));
    other.attempts.forEach((target, count) -> attempts.merge(target, count, Long::sum));
    failures += other.failures;
    probeNanos += other.probeNanos;
  }

  /** Returns the highest number of attempts at one target, divided by the mean over targets. */
  public double imbalance() {
    double mean = attempts.values().stream().mapToLong(Long::longValue).average().orElse(0);
    long most = attempts.values().stream().mapToLong(Long::longValue).max().orElse(0);
    return mean == 0 ? 0 : most / mean;
  }

  void recordProbe(long costNanos) {
    probeNanos += recording ? costNanos : 0;
  }

  void recordRefusal(ErrorKind kind) {
    if (recording) {
      refusals.merge(kind, 1L, Long::sum);
    }
  }

  void recordAttempt(Decision.Assigned assigned, AttemptOutcome outcome, long latencyNanos) {
    if (recording) {
      attempts.merge(assigned.target(), 1L, Long::sum);
    }
  }

  void recordResponse(AttemptOutcome outcome, long latencyNanos) {
    if (!recording) {
      return;
    }
    if (outcome == AttemptOutcome.SUCCESS) {
      latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, latencyNanos / 1_000));
    } else {
      failures++;
    }
  }
}
