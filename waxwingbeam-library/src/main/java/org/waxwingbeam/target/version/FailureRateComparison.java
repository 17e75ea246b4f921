package org.waxwingbeam.target.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.waxwingbeam.target.version.SampleDeltas.Delta;

/**
 * Tests in each interval whether the new version fails more often than the old one does at the same
 * time, overall, on each route and at each load level. Not safe for use by several threads.
 *
 * <p>What one group of targets adds in one interval is bounded, because one crash or one slow
 * machine may have caused all of it.
 */
final class FailureRateComparison {
  private static final double[] BAD_RATES = {0.03, 0.15, 0.5, 0.95};
  private static final double LEAST_OLD_RATE = 0.005;
  private static final double GREATEST_OLD_RATE = 0.95;
  private static final double OLD_RATE_TOLERANCE = 1.5;
  private static final double LEAST_RATE_WITHOUT_OLD = 0.05;
  private static final double TOLERANCE_WITHOUT_OLD = 3;
  private static final double ENOUGH_RECENT_REQUESTS = 5;
  private static final double MAX_LOG_RATIO = Math.log(200);
  private static final double BAD_RATE_DISTANCE = 1.5;

  private final Map<String, Stream> streams = new HashMap<>();

  /** One comparison: of all requests, of a route's or of a load level's. */
  private static final class Stream {
    private final Baseline baseline = new Baseline();
    private final CusumDetector detector = new CusumDetector(BAD_RATES.length);
    private final long[] ran = new long[SampleKey.TARGET_GROUPS];
    private final long[] failed = new long[SampleKey.TARGET_GROUPS];

    void add(Delta delta) {
      if (delta.key().newVersion()) {
        ran[delta.key().targetGroup()] += delta.counts().completed();
        failed[delta.key().targetGroup()] += delta.counts().failed();
      } else {
        baseline.add(delta.counts());
      }
    }

    void finishTick(boolean oldServes) {
      double oldRate = oldRate(oldServes);
      for (int alternative = 0; alternative < BAD_RATES.length; alternative++) {
        double badRate = BAD_RATES[alternative];
        if (badRate > BAD_RATE_DISTANCE * oldRate) {
          detector.add(alternative, logRatio(badRate, oldRate));
        }
      }
      java.util.Arrays.fill(ran, 0);
      java.util.Arrays.fill(failed, 0);
      baseline.nextTick();
    }

    private double oldRate(boolean oldServes) {
      double longTerm = baseline.longTermRate();
      double rate;
      if (!oldServes && baseline.recentRequests() < ENOUGH_RECENT_REQUESTS) {
        rate = Math.max(LEAST_RATE_WITHOUT_OLD, TOLERANCE_WITHOUT_OLD * longTerm);
      } else {
        rate = Math.max(LEAST_OLD_RATE, OLD_RATE_TOLERANCE * longTerm);
        rate = Math.max(rate, Math.max(baseline.recentRate(), baseline.presentRate()));
      }
      return Math.min(GREATEST_OLD_RATE, rate);
    }

    private double logRatio(double badRate, double oldRate) {
      double sum = 0;
      double perFailure = Math.log(badRate / oldRate);
      double perSuccess = Math.log((1 - badRate) / (1 - oldRate));
      for (int cell = 0; cell < SampleKey.TARGET_GROUPS; cell++) {
        double ratio = failed[cell] * perFailure + (ran[cell] - failed[cell]) * perSuccess;
        sum += Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, ratio));
      }
      return sum;
    }
  }

  /**
   * Adds one interval's evidence.
   *
   * @param deltas what is new
   * @param oldServes whether the old version still receives requests
   */
  void tick(List<Delta> deltas, boolean oldServes) {
    for (Delta delta : deltas) {
      stream("all routes").add(delta);
      stream("route " + delta.key().route()).add(delta);
      stream("load level " + delta.key().level()).add(delta);
    }
    streams.values().forEach(stream -> stream.finishTick(oldServes));
  }

  /** Returns how many comparisons with how many alternatives are made. */
  int comparisons() {
    return Math.max(1, streams.size()) * BAD_RATES.length;
  }

  /** Returns the name of a comparison whose strength passes a threshold. */
  Optional<String> alarm(double logThreshold) {
    return streams.entrySet().stream()
        .filter(entry -> entry.getValue().detector.strength() >= logThreshold)
        .map(Map.Entry::getKey)
        .min(java.util.Comparator.naturalOrder());
  }

  private Stream stream(String name) {
    return streams.computeIfAbsent(name, absent -> new Stream());
  }
}
