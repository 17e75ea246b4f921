package org.waxwingbeam.target.version;

/**
 * Outcome counts of requests since the start of a version move.
 *
 * @param completed requests that ran, including failures
 * @param failed requests that ran and failed
 * @param latencies times to the response head of the requests that succeeded
 * @since 0.1.0
 */
public record SampleCounts(long completed, long failed, LatencyCounts latencies) {
  /** Counts of no requests. */
  public static final SampleCounts NONE = new SampleCounts(0, 0, new LatencyCounts());

  /** Returns the difference from an earlier state of the same counts. */
  public SampleCounts since(SampleCounts earlier) {
    return new SampleCounts(
        completed - earlier.completed, failed - earlier.failed, latencies.since(earlier.latencies));
  }
}
