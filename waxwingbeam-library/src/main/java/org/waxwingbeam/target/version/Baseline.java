package org.waxwingbeam.target.version;

/**
 * Holds how the old version has answered one kind of request lately: a failure rate and a latency
 * distribution, in which older answers weigh less. Not safe for use by several threads.
 */
final class Baseline {
  private static final double LATENCY_DECAY = 0.99;
  private static final double FAILURE_DECAY = 0.995;
  private static final double RECENT_DECAY = 0.95;
  private static final double SPREAD = 0.03;
  private static final double SPREAD_BUCKETS = 40;

  private final double[] latencies = new double[LatencyCounts.BUCKETS];
  private double latencyTotal;
  private double ran;
  private double failed;
  private double recentRan;
  private double recentFailed;
  private long tickRan;
  private long tickFailed;

  /** Starts the next interval; the answers before weigh less. */
  void nextTick() {
    recentRan *= RECENT_DECAY;
    recentFailed *= RECENT_DECAY;
    tickRan = 0;
    tickFailed = 0;
  }

  /** Adds the answers of the present interval. */
  void add(SampleCounts counts) {
    if (tickRan == 0) {
      decay();
    }
    tickRan += counts.completed();
    tickFailed += counts.failed();
    ran += counts.completed();
    failed += counts.failed();
    recentRan += counts.completed();
    recentFailed += counts.failed();
    for (int bucket = 0; bucket < LatencyCounts.BUCKETS; bucket++) {
      int count = counts.latencies().count(bucket);
      latencies[bucket] += count;
      latencyTotal += count;
    }
  }

  private void decay() {
    ran *= FAILURE_DECAY;
    failed *= FAILURE_DECAY;
    latencyTotal *= LATENCY_DECAY;
    for (int bucket = 0; bucket < LatencyCounts.BUCKETS; bucket++) {
      latencies[bucket] *= LATENCY_DECAY;
    }
  }

  double latencySamples() {
    return latencyTotal;
  }

  /** Returns the probability of a latency bucket if every latency were longer by a shift. */
  double probability(int bucket, int shift) {
    int from = bucket - shift;
    double seen = from >= 0 && latencyTotal > 0 ? latencies[from] / latencyTotal : 0;
    return (1 - SPREAD) * seen + SPREAD / SPREAD_BUCKETS;
  }

  /** Returns the rate of failures over a longer time. */
  double longTermRate() {
    return ran == 0 ? 0 : failed / ran;
  }

  double recentRequests() {
    return recentRan;
  }

  /** Returns a cautious rate of failures over the last few seconds. */
  double recentRate() {
    return (recentFailed + 0.5) / (recentRan + 1);
  }

  /** Returns the rate of failures in the present interval. */
  double presentRate() {
    return tickRan == 0 ? 0 : (double) tickFailed / tickRan;
  }
}
