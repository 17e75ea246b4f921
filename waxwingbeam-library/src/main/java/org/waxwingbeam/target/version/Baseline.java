package org.waxwingbeam.target.version;

/**
 * The recent failure rate and latency distribution of the old version for one group of requests,
 * with exponential decay of older responses. Not thread-safe.
 */
final class Baseline {
  private static final double LATENCY_DECAY_FACTOR = 0.99;
  private static final double FAILURE_DECAY_FACTOR = 0.995;
  private static final double RECENT_DECAY_FACTOR = 0.95;
  private static final double SMOOTHING_WEIGHT = 0.03;
  private static final double SMOOTHING_BUCKETS = 40;

  private final double[] latencies = new double[LatencyCounts.BUCKETS];
  private double latencyTotal;
  private double completed;
  private double failed;
  private double recentCompleted;
  private double recentFailed;
  private long tickCompleted;
  private long tickFailed;

  /** Starts the next interval and reduces the weight of the recent responses. */
  void nextTick() {
    recentCompleted *= RECENT_DECAY_FACTOR;
    recentFailed *= RECENT_DECAY_FACTOR;
    tickCompleted = 0;
    tickFailed = 0;
  }

  /** Adds responses of the current interval. */
  void add(SampleCounts counts) {
    if (tickCompleted == 0) {
      decay();
    }
    tickCompleted += counts.completed();
    tickFailed += counts.failed();
    completed += counts.completed();
    failed += counts.failed();
    recentCompleted += counts.completed();
    recentFailed += counts.failed();
    for (int bucket = 0; bucket < LatencyCounts.BUCKETS; bucket++) {
      int count = counts.latencies().count(bucket);
      latencies[bucket] += count;
      latencyTotal += count;
    }
  }

  private void decay() {
    completed *= FAILURE_DECAY_FACTOR;
    failed *= FAILURE_DECAY_FACTOR;
    latencyTotal *= LATENCY_DECAY_FACTOR;
    for (int bucket = 0; bucket < LatencyCounts.BUCKETS; bucket++) {
      latencies[bucket] *= LATENCY_DECAY_FACTOR;
    }
  }

  double latencySamples() {
    return latencyTotal;
  }

  /**
   * Returns the smoothed probability of a latency bucket if every latency were longer by a shift.
   *
   * @param bucket the bucket
   * @param shift the shift in buckets
   */
  double probability(int bucket, int shift) {
    int unshifted = bucket - shift;
    double observed = unshifted >= 0 && latencyTotal > 0 ? latencies[unshifted] / latencyTotal : 0;
    return (1 - SMOOTHING_WEIGHT) * observed + SMOOTHING_WEIGHT / SMOOTHING_BUCKETS;
  }

  /** Returns the failure rate with slow decay. */
  double longTermRate() {
    return completed == 0 ? 0 : failed / completed;
  }

  double recentRequests() {
    return recentCompleted;
  }

  /** Returns the failure rate over the last few seconds, smoothed by half a failure. */
  double recentRate() {
    return (recentFailed + 0.5) / (recentCompleted + 1);
  }

  /** Returns the failure rate in the current interval. */
  double currentRate() {
    return tickCompleted == 0 ? 0 : (double) tickFailed / tickCompleted;
  }
}
