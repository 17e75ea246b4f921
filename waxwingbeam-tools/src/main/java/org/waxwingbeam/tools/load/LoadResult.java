package org.waxwingbeam.tools.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.waxwingbeam.tools.load.RequestOutcome.Kind;

/**
 * The counts and latencies of a load run. Not thread-safe.
 *
 * @since 0.1.0
 */
public final class LoadResult {
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<Kind, Long> kinds = new EnumMap<>(Kind.class);
  private final Map<String, Long> refusals = new TreeMap<>();
  private final Map<Integer, Long> statuses = new TreeMap<>();
  private final Map<String, Histogram> byDataCentre = new TreeMap<>();
  private final Map<String, Histogram> byVersion = new TreeMap<>();
  private final Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);
  private long bytes;
  private double seconds;

  /** Adds one outcome. */
  public void add(RequestOutcome outcome) {
    kinds.merge(outcome.kind(), 1L, Long::sum);
    bytes += outcome.bytes();
    if (outcome.status() != 0) {
      statuses.merge(outcome.status(), 1L, Long::sum);
    }
    if (outcome.kind() == Kind.REFUSED) {
      refusals.merge(outcome.error(), 1L, Long::sum);
    }
    if (outcome.kind() == Kind.OK) {
      long micros = outcome.latencyNanos() / 1_000;
      latencies.recordValue(micros);
      record(byDataCentre, outcome.dataCentre(), micros);
      record(byVersion, outcome.version(), micros);
    }
  }

  /** Adds the result of another thread of the same run. */
  public void add(LoadResult other) {
    other.kinds.forEach((kind, count) -> kinds.merge(kind, count, Long::sum));
    other.refusals.forEach((kind, count) -> refusals.merge(kind, count, Long::sum));
    other.statuses.forEach((status, count) -> statuses.merge(status, count, Long::sum));
    other.byDataCentre.forEach((name, histogram) -> histogram(byDataCentre, name).add(histogram));
    other.byVersion.forEach((name, histogram) -> histogram(byVersion, name).add(histogram));
    latencies.add(other.latencies);
    bytes += other.bytes;
    seconds = Math.max(seconds, other.seconds);
  }

  void setSeconds(double value) {
    seconds = value;
  }

  /** Returns the number of requests. */
  public long sent() {
    return kinds.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the number of requests with a kind of outcome. */
  public long count(Kind kind) {
    return kinds.getOrDefault(kind, 0L);
  }

  /** Returns the number of refusals by the value of {@code waxwingbeam-error}. */
  public Map<String, Long> refusals() {
    return new TreeMap<>(refusals);
  }

  /** Returns the number of responses by status. */
  public Map<Integer, Long> statuses() {
    return new TreeMap<>(statuses);
  }

  /** Returns the latencies of {@link Kind#OK} responses, in microseconds. */
  public Histogram latencies() {
    return latencies;
  }

  /** Returns the latencies of OK responses by the target's data centre, in microseconds. */
  public Map<String, Histogram> latenciesByDataCentre() {
    return new TreeMap<>(byDataCentre);
  }

  /** Returns the latencies of OK responses by the target's version, in microseconds. */
  public Map<String, Histogram> latenciesByVersion() {
    return new TreeMap<>(byVersion);
  }

  /** Returns the total size of the response bodies, in bytes. */
  public long bytes() {
    return bytes;
  }

  /** Returns the duration of the run, in seconds. */
  public double seconds() {
    return seconds;
  }

  private static void record(Map<String, Histogram> histograms, String name, long micros) {
    histogram(histograms, name.isEmpty() ? "unknown" : name).recordValue(micros);
  }

  private static Histogram histogram(Map<String, Histogram> histograms, String name) {
    return histograms.computeIfAbsent(name, absent -> new Histogram(SIGNIFICANT_DIGITS));
  }
}
