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
 * Tests in each interval whether the new version responds more slowly than the old one on the same
 * route. Load levels are not compared separately, because slowness itself raises the load of a
 * version's targets. Not thread-safe.
 *
 * <p>Each latency contributes the log-likelihood ratio of the old version's distribution scaled by
 * a factor against the unscaled one. The contribution of one group of targets in one interval is
 * bounded, and the lower median of several groups is used, so that a few slow machines are not
 * mistaken for a slow version.
 */
final class LatencyComparison {
  private static final int[] SLOWER_BY_BUCKETS = {5, 8, 11};
  private static final int TOLERATED_BUCKETS = 2;
  private static final double MIN_BASELINE_SAMPLES = 50;
  private static final double MAX_LOG_RATIO = 3.5;
  private static final double MAX_SAMPLE_LOG_RATIO = Math.log(20);
  private static final int MIN_CELLS = 2;
  private static final double MAX_PENDING_LOG_RATIO = 7;
  private static final String ALL = "all routes";

  private final Map<RouteName, Baseline> byRoute = new HashMap<>();
  private final Map<String, Comparison> comparisons = new HashMap<>();
  private final BitSet cellsKnown = new BitSet();

  /** The comparison of all requests or of one route's requests. */
  private static final class Comparison {
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
      if (cells >= Math.min(MIN_CELLS, cellsKnown)) {
        addMedian(cells);
      }
    }

    private void addMedian(int cells) {
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
        detector.add(alternative, Math.min(cells, MIN_CELLS) * sorted[middle]);
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

  /** Adds the evidence of one interval. */
  void tick(List<Delta> deltas) {
    deltas.stream().filter(delta -> !delta.key().newVersion()).forEach(this::addOld);
    deltas.stream().filter(delta -> delta.key().newVersion()).forEach(this::addNew);
    comparisons.values().forEach(each -> each.finishTick(cellsKnown.cardinality()));
    byRoute.values().forEach(Baseline::nextTick);
  }

  /** Returns the number of hypothesis tests: comparisons times alternative hypotheses. */
  int hypothesisTests() {
    return Math.max(1, comparisons.size()) * SLOWER_BY_BUCKETS.length;
  }

  /** Returns the name of a comparison whose log-likelihood sum reaches the threshold. */
  Optional<String> alarm(double logThreshold) {
    return comparisons.entrySet().stream()
        .filter(entry -> entry.getValue().detector.maxSum() >= logThreshold)
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
    sufficient(byRoute.get(key.route()))
        .ifPresent(
            baseline -> {
              comparison(ALL).add(baseline, delta);
              comparison("route " + key.route()).add(baseline, delta);
            });
  }

  private Comparison comparison(String name) {
    return comparisons.computeIfAbsent(name, absent -> new Comparison());
  }

  private static Optional<Baseline> sufficient(Baseline baseline) {
    return Optional.ofNullable(baseline)
        .filter(each -> each.latencySamples() >= MIN_BASELINE_SAMPLES);
  }

  private static double logRatio(Baseline baseline, LatencyCounts latencies, int shift) {
    double sum = 0;
    for (int bucket = 0; bucket < LatencyCounts.BUCKETS; bucket++) {
      int count = latencies.count(bucket);
      if (count > 0) {
        double ratio =
            Math.log(baseline.probability(bucket, shift) / toleratedProbability(baseline, bucket));
        sum += count * clipped(ratio, MAX_SAMPLE_LOG_RATIO);
      }
    }
    return sum;
  }

  private static double clipped(double value, double limit) {
    return Math.max(-limit, Math.min(limit, value));
  }

  /** Returns the highest probability of a bucket under the tolerated shifts. */
  private static double toleratedProbability(Baseline baseline, int bucket) {
    double max = 0;
    for (int shift = 0; shift <= TOLERATED_BUCKETS; shift++) {
      max = Math.max(max, baseline.probability(bucket, shift));
    }
    return max;
  }
}
