package org.waxwingbeam.target.version;

/**
 * Counts how requests ended since the start of a version move.
 *
 * @param completed requests that ran, failures included
 * @param failed requests that ran and failed
 * @param latencies times to the answer's head of those that succeeded
 * @since 0.1.0
 */
public record SampleCounts(long completed, long failed, LatencyCounts latencies) {
  /** No request. */
  public static final SampleCounts NONE = new SampleCounts(0, 0, new LatencyCounts());

  /** Returns the counts that came after an earlier state of the same counts. */
  public SampleCounts since(SampleCounts earlier) {
    return new SampleCounts(
        completed - earlier.completed, failed - earlier.failed, latencies.since(earlier.latencies));
  }
}
