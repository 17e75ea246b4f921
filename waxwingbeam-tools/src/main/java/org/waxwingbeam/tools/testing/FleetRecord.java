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
 * Counts what callers of a fake fleet have seen.
 *
 * @since 0.1.0
 */
public final class FleetRecord {
  private static final long HIGHEST_MICROS = 60_000_000;

  private final Histogram latencyMicros = new Histogram(HIGHEST_MICROS, 3);
  private final Map<ErrorKind, Long> refusals = new EnumMap<>(ErrorKind.class);
  private final Map<TargetId, Long> attempts = new TreeMap<>();
  private long failures;
  private long probeNanos;
  private boolean recording = true;

  /** Returns the latencies of whole answers, in microseconds. */
  public Histogram latencyMicros() {
    return latencyMicros;
  }

  /** Returns how many requests were refused, by reason. */
  public Map<ErrorKind, Long> refusals() {
    return refusals;
  }

  /** Returns how many attempts went to each target. */
  public Map<TargetId, Long> attempts() {
    return attempts;
  }

  /** Returns how many requests failed at a target. */
  public long failures() {
    return failures;
  }

  /** Turns counting on or off, such as off while the fleet starts. */
  public void setRecording(boolean on) {
    recording = on;
  }

  /** Returns how many requests have ended, in whichever way. */
  public long total() {
    return latencyMicros.getTotalCount() + failures + refused();
  }

  /** Returns how many requests were refused. */
  public long refused() {
    return refusals.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the target time that probes have taken, in nanoseconds. */
  public long probeNanos() {
    return probeNanos;
  }

  /** Adds what another run has counted. */
  public void add(FleetRecord other) {
    latencyMicros.add(other.latencyMicros);
    other.refusals.forEach((kind, count) -> refusals.merge(kind, count, Long::sum));
    other.attempts.forEach((target, count) -> attempts.merge(target, count, Long::sum));
    failures += other.failures;
    probeNanos += other.probeNanos;
  }

  /** Returns the greatest number of attempts at a target, relative to the mean. */
  public double imbalance() {
    double mean = attempts.values().stream().mapToLong(Long::longValue).average().orElse(0);
    long most = attempts.values().stream().mapToLong(Long::longValue).max().orElse(0);
    return mean == 0 ? 0 : most / mean;
  }

  void noteProbe(long costNanos) {
    probeNanos += recording ? costNanos : 0;
  }

  void noteRefusal(ErrorKind kind) {
    if (recording) {
      refusals.merge(kind, 1L, Long::sum);
    }
  }

  void noteAttempt(Decision.Assigned assigned, AttemptOutcome outcome, long latencyNanos) {
    if (recording) {
      attempts.merge(assigned.target(), 1L, Long::sum);
    }
  }

  void recordResponse(AttemptOutcome outcome, long latencyNanos) {
    if (!recording) {
      return;
    }
    if (outcome == AttemptOutcome.SUCCESS) {
      latencyMicros.recordValue(Math.min(HIGHEST_MICROS, latencyNanos / 1_000));
    } else {
      failures++;
    }
  }
}
