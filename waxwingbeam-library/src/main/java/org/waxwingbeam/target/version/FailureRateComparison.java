package org.waxwingbeam.target.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.waxwingbeam.target.version.SampleDeltas.Delta;

/**
 * Tests in each interval whether the failure rate of the new version is higher than that of the old
 * version at the same time: overall, by route and by load level. Not thread-safe.
 *
 * <p>The contribution of one group of targets in one interval is bounded, because a single crash or
 * a single slow machine may have caused all of its failures.
 */
final class FailureRateComparison {
  private static final double[] BAD_RATES = {0.03, 0.15, 0.5, 0.95};
  private static final double MIN_OLD_RATE = 0.005;
  private static final double MAX_OLD_RATE = 0.95;
  private static final double OLD_RATE_TOLERANCE_FACTOR = 1.5;
  private static final double MIN_RATE_WITHOUT_OLD = 0.05;
  private static final double TOLERANCE_FACTOR_WITHOUT_OLD = 3;
  private static final double MIN_RECENT_REQUESTS = 5;
  private static final double MAX_LOG_RATIO = Math.log(200);
  private static final double MIN_BAD_RATE_RATIO = 1.5;

  private final Map<String, Comparison> comparisons = new HashMap<>();

  /** The comparison of all requests, of one route's requests or of one load level's requests. */
  private static final class Comparison {
    private final Baseline baseline = new Baseline();
    private final CusumDetector detector = new CusumDetector(BAD_RATES.length);
    private final long[] completed = new long[SampleKey.TARGET_GROUPS];
    private final long[] failed = new long[SampleKey.TARGET_GROUPS];

    void add(Delta delta) {
      if (delta.key().newVersion()) {
        completed[delta.key().targetGroup()] += delta.counts().completed();
        failed[delta.key().targetGroup()] += delta.counts().failed();
      } else {
        baseline.add(delta.counts());
      }
    }

    void finishTick(boolean oldServes) {
      double oldRate = oldRate(oldServes);
      for (int alternative = 0; alternative < BAD_RATES.length; alternative++) {
        double badRate = BAD_RATES[alternative];
        if (badRate > MIN_BAD_RATE_RATIO * oldRate) {
          detector.add(alternative, logRatio(badRate, oldRate));
        }
      }
      java.util.Arrays.fill(completed, 0);
      java.util.Arrays.fill(failed, 0);
      baseline.nextTick();
    }

    private double oldRate(boolean oldServes) {
      double longTerm = baseline.longTermRate();
      double rate;
      if (!oldServes && baseline.recentRequests() < MIN_RECENT_REQUESTS) {
        rate = Math.max(MIN_RATE_WITHOUT_OLD, TOLERANCE_FACTOR_WITHOUT_OLD * longTerm);
      } else {
        rate = Math.max(MIN_OLD_RATE, OLD_RATE_TOLERANCE_FACTOR * longTerm);
        rate = Math.max(rate, Math.max(baseline.recentRate(), baseline.currentRate()));
      }
      return Math.min(MAX_OLD_RATE, rate);
    }

    private double logRatio(double badRate, double oldRate) {
      double sum = 0;
      double perFailure = Math.log(badRate / oldRate);
      double perSuccess = Math.log((1 - badRate) / (1 - oldRate));
      for (int group = 0; group < SampleKey.TARGET_GROUPS; group++) {
        double ratio = failed[group] * perFailure + (completed[group] - failed[group]) * perSuccess;
        sum += Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, ratio));
      }
      return sum;
    }
  }

  /**
   * Adds the samples of one interval.
   *
   * @param deltas the counts that were added in the interval
   * @param oldServes whether the old version still receives requests
   */
  void tick(List<Delta> deltas, boolean oldServes) {
    for (Delta delta : deltas) {
      comparison("all routes").add(delta);
      comparison("route " + delta.key().route()).add(delta);
      comparison("load level " + delta.key().level()).add(delta);
    }
    comparisons.values().forEach(comparison -> comparison.finishTick(oldServes));
  }

  /** Returns the number of hypothesis tests: comparisons times alternative hypotheses. */
  int hypothesisTests() {
    return Math.max(1, comparisons.size()) * BAD_RATES.length;
  }

  /** Returns the name of a comparison whose log-likelihood sum reaches the threshold. */
  Optional<String> alarm(double logThreshold) {
    return comparisons.entrySet().stream()
        .filter(entry -> entry.getValue().detector.maxSum() >= logThreshold)
        .map(Map.Entry::getKey)
        .min(java.util.Comparator.naturalOrder());
  }

  private Comparison comparison(String name) {
    return comparisons.computeIfAbsent(name, absent -> new Comparison());
  }
}
