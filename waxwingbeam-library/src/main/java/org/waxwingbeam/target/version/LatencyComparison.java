package org.waxwingbeam.target.version;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.target.version.SampleDeltas.Delta;

/**
 * Tests in each interval whether the new version answers more slowly than the old one does on the
 * same route. Load levels are not told apart, because a slow version is busier for being slow. Not
 * safe for use by several threads.
 *
 * <p>Each latency is weighed by how much more probable it is if the old version's latencies were
 * multiplied than if they were not. What one group of targets adds in one interval is bounded, and
 * of several groups the lower median counts, so that some slow machines are not taken for a slow
 * version.
 */
final class LatencyComparison {
  private static final int[] SLOWER_BY_BUCKETS = {5, 8, 11};
  private static final int TOLERATED_BUCKETS = 2;
  private static final double ENOUGH_SAMPLES = 50;
  private static final double MAX_LOG_RATIO = 3.5;
  private static final double MAX_SAMPLE_LOG_RATIO = Math.log(20);
  private static final int LEAST_CELLS = 2;
  private static final double MAX_PENDING_LOG_RATIO = 7;
  private static final String ALL = "all routes";

  private final Map<RouteName, Baseline> byRoute = new HashMap<>();
  private final Map<String, Stream> streams = new HashMap<>();
  private final BitSet cellsKnown = new BitSet();

  /** One comparison: of all requests or of a route's. */
  private static final class Stream {
    private final CusumDetector detector = new CusumDetector(SLOWER_BY_BUCKETS.length);
    private final double[][] ratios = new double[SLOWER_BY_BUCKETS.length][SampleKey.TARGET_GROUPS];
    private final double[][] pending =
        new double[SLOWER_BY_BUCKETS.length][SampleKey.TARGET_GROUPS];
    private final boolean[] seen = new boolean[SampleKey.TARGET_GROUPS];

    void add(Baseline baseline, Delta delta) {
      int cell = delta.key().targetGroup();
      seen[cell] = true;
      for (int alternative = 0; alternative < SLOWER_BY_BUCKETS.length; alternative++) {
        ratios[alternative][cell] +=
            logRatio(baseline, delta.counts().latencies(), SLOWER_BY_BUCKETS[alternative]);
      }
    }

    void finishTick(int cellsKnown) {
      for (int alternative = 0; alternative < ratios.length; alternative++) {
        for (int cell = 0; cell < SampleKey.TARGET_GROUPS; cell++) {
          double ratio = ratios[alternative][cell];
          double added = pending[alternative][cell] + clipped(ratio, MAX_LOG_RATIO);
          pending[alternative][cell] = clipped(added, MAX_PENDING_LOG_RATIO);
          ratios[alternative][cell] = 0;
        }
      }
      int cells = cellsSeen();
      if (cells >= Math.min(LEAST_CELLS, cellsKnown)) {
        use(cells);
      }
    }

    private void use(int cells) {
      if (cells == 0) {
        return;
      }
      int middle = SampleKey.TARGET_GROUPS - cells + (cells - 1) / 2;
      for (int alternative = 0; alternative < ratios.length; alternative++) {
        double[] sorted = new double[SampleKey.TARGET_GROUPS];
        for (int cell = 0; cell < SampleKey.TARGET_GROUPS; cell++) {
          sorted[cell] = seen[cell] ? pending[alternative][cell] : Double.NEGATIVE_INFINITY;
        }
        Arrays.sort(sorted);
        detector.add(alternative, Math.min(cells, LEAST_CELLS) * sorted[middle]);
        Arrays.fill(pending[alternative], 0);
      }
      Arrays.fill(seen, false);
    }

    private int cellsSeen() {
      int cells = 0;
      for (boolean each : seen) {
        cells += each ? 1 : 0;
      }
      return cells;
    }
  }

  /** Adds one interval's evidence. */
  void tick(List<Delta> deltas) {
    deltas.stream().filter(delta -> !delta.key().newVersion()).forEach(this::addOld);
    deltas.stream().filter(delta -> delta.key().newVersion()).forEach(this::addNew);
    streams.values().forEach(stream -> stream.finishTick(cellsKnown.cardinality()));
    byRoute.values().forEach(Baseline::nextTick);
  }

  /** Returns how many comparisons with how many alternatives are made. */
  int comparisons() {
    return Math.max(1, streams.size()) * SLOWER_BY_BUCKETS.length;
  }

  /** Returns the name of a comparison whose strength passes a threshold. */
  Optional<String> alarm(double logThreshold) {
    return streams.entrySet().stream()
        .filter(entry -> entry.getValue().detector.strength() >= logThreshold)
        .map(Map.Entry::getKey)
        .min(Comparator.naturalOrder());
  }

  private void addOld(Delta delta) {
    SampleKey key = delta.key();
    byRoute.computeIfAbsent(key.route(), absent -> new Baseline()).add(delta.counts());
  }

  private void addNew(Delta delta) {
    SampleKey key = delta.key();
    cellsKnown.set(key.targetGroup());
    usable(byRoute.get(key.route()))
        .ifPresent(
            baseline -> {
              stream(ALL).add(baseline, delta);
              stream("route " + key.route()).add(baseline, delta);
            });
  }

  private Stream stream(String name) {
    return streams.computeIfAbsent(name, absent -> new Stream());
  }

  private static Optional<Baseline> usable(Baseline baseline) {
    return Optional.ofNullable(baseline).filter(each -> each.latencySamples() >= ENOUGH_SAMPLES);
  }

  private static double logRatio(Baseline baseline, LatencyCounts latencies, int shift) {
    double sum = 0;
    for (int bucket = 0; bucket < LatencyCounts.BUCKETS; bucket++) {
      int count = latencies.count(bucket);
      if (count > 0) {
        double ratio = Math.log(baseline.probability(bucket, shift) / usual(baseline, bucket));
        sum += count * clipped(ratio, MAX_SAMPLE_LOG_RATIO);
      }
    }
    return sum;
  }

  private static double clipped(double value, double limit) {
    return Math.max(-limit, Math.min(limit, value));
  }

  private static double usual(Baseline baseline, int bucket) {
    double most = 0;
    for (int shift = 0; shift <= TOLERATED_BUCKETS; shift++) {
      most = Math.max(most, baseline.probability(bucket, shift));
    }
    return most;
  }
}
