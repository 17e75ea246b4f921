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
  private static final int MIN_GROUPS = 2;
  private static final double MAX_PENDING_LOG_RATIO = 7;
  private static final String ALL_ROUTES = "all routes";

  private final Map<RouteName, Baseline> baselineByRoute = new HashMap<>();
  private final Map<String, Comparison> comparisons = new HashMap<>();
  private final BitSet knownGroups = new BitSet();

  /** The comparison of all requests or of one route's requests. */
  private static final class Comparison {
    private final CusumDetector detector = new CusumDetector(SLOWER_BY_BUCKETS.length);
    private final double[][] ratios = new double[SLOWER_BY_BUCKETS.length][SampleKey.TARGET_GROUPS];
    private final double[][] pending =
        new double[SLOWER_BY_BUCKETS.length][SampleKey.TARGET_GROUPS];
    private final boolean[] observed = new boolean[SampleKey.TARGET_GROUPS];

    void add(Baseline baseline, Delta delta) {
      int group = delta.key().targetGroup();
      observed[group] = true;
      for (int alternative = 0; alternative < SLOWER_BY_BUCKETS.length; alternative++) {
        ratios[alternative][group] +=
            logRatio(baseline, delta.counts().latencies(), SLOWER_BY_BUCKETS[alternative]);
      }
    }

    void finishTick(int knownGroupCount) {
      for (int alternative = 0; alternative < ratios.length; alternative++) {
        for (int group = 0; group < SampleKey.TARGET_GROUPS; group++) {
          double ratio = ratios[alternative][group];
          double added = pending[alternative][group] + clipped(ratio, MAX_LOG_RATIO);
          pending[alternative][group] = clipped(added, MAX_PENDING_LOG_RATIO);
          ratios[alternative][group] = 0;
        }
      }
      int groups = observedGroups();
      if (groups >= Math.min(MIN_GROUPS, knownGroupCount)) {
        addMedian(groups);
      }
    }

    private void addMedian(int groups) {
      if (groups == 0) {
        return;
      }
      int middle = SampleKey.TARGET_GROUPS - groups + (groups - 1) / 2;
      for (int alternative = 0; alternative < ratios.length; alternative++) {
        double[] sorted = new double[SampleKey.TARGET_GROUPS];
        for (int group = 0; group < SampleKey.TARGET_GROUPS; group++) {
          sorted[group] = observed[group] ? pending[alternative][group] : Double.NEGATIVE_INFINITY;
        }
        Arrays.sort(sorted);
        detector.add(alternative, Math.min(groups, MIN_GROUPS) * sorted[middle]);
        Arrays.fill(pending[alternative], 0);
      }
      Arrays.fill(observed, false);
    }

    private int observedGroups() {
      int groups = 0;
      for (boolean each : observed) {
        groups += each ? 1 : 0;
      }
      return groups;
    }
  }

  /** Adds the samples of one interval. */
  void tick(List<Delta> deltas) {
    deltas.stream().filter(delta -> !delta.key().newVersion()).forEach(this::addOld);
    deltas.stream().filter(delta -> delta.key().newVersion()).forEach(this::addNew);
    comparisons.values().forEach(each -> each.finishTick(knownGroups.cardinality()));
    baselineByRoute.values().forEach(Baseline::nextTick);
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
    baselineByRoute.computeIfAbsent(key.route(), absent -> new Baseline()).add(delta.counts());
  }

  private void addNew(Delta delta) {
    SampleKey key = delta.key();
    knownGroups.set(key.targetGroup());
    withEnoughSamples(baselineByRoute.get(key.route()))
        .ifPresent(
            baseline -> {
              comparison(ALL_ROUTES).add(baseline, delta);
              comparison("route " + key.route()).add(baseline, delta);
            });
  }

  private Comparison comparison(String name) {
    return comparisons.computeIfAbsent(name, absent -> new Comparison());
  }

  private static Optional<Baseline> withEnoughSamples(Baseline baseline) {
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
