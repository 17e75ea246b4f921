package org.waxwingbeam.target.version;

import java.util.Arrays;

/**
 * A latency histogram whose bucket bounds grow by the fourth root of two. Histograms of several
 * entry instances can be added up. Not thread-safe.
 *
 * @since 0.1.0
 */
public final class LatencyCounts {
  /** Number of buckets; the last one covers all latencies from about 74 seconds. */
  public static final int BUCKETS = 106;

  /** Number of buckets between a latency and its double. */
  static final int BUCKETS_PER_DOUBLING = 4;

  private static final double NANOS_PER_MICRO = 1_000;
  private static final double LN_2 = Math.log(2);

  private final int[] counts = new int[BUCKETS];

  /** Counts one latency. */
  public void record(long latencyNanos) {
    counts[bucket(latencyNanos)]++;
  }

  /** Returns the bucket of a latency. */
  public static int bucket(long latencyNanos) {
    double micros = Math.max(1, latencyNanos / NANOS_PER_MICRO);
    int bucket = (int) (BUCKETS_PER_DOUBLING * Math.log(micros) / LN_2);
    return Math.min(BUCKETS - 1, bucket);
  }

  /** Returns the count of one bucket. */
  public int count(int bucket) {
    return counts[bucket];
  }

  /** Adds to the count of one bucket. */
  public void add(int bucket, int count) {
    counts[bucket] += count;
  }

  /** Returns a copy. */
  public LatencyCounts copy() {
    LatencyCounts copy = new LatencyCounts();
    System.arraycopy(counts, 0, copy.counts, 0, BUCKETS);
    return copy;
  }

  /** Returns the difference from an earlier state of the same counts. */
  public LatencyCounts since(LatencyCounts earlier) {
    LatencyCounts since = new LatencyCounts();
    Arrays.setAll(since.counts, bucket -> counts[bucket] - earlier.counts[bucket]);
    return since;
  }

  /** Returns the number of latencies counted. */
  public long total() {
    return Arrays.stream(counts).asLongStream().sum();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof LatencyCounts that && Arrays.equals(counts, that.counts);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(counts);
  }
}
