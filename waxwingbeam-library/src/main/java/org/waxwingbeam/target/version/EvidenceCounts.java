package org.waxwingbeam.target.version;

/**
 * Counts how requests ended since the start of a version move.
 *
 * @param ran requests that ran, failures included
 * @param failed requests that ran and failed
 * @param latencies times to the answer's head of those that succeeded
 * @since 0.1.0
 */
public record EvidenceCounts(long ran, long failed, LatencyCounts latencies) {
  /** No request. */
  public static final EvidenceCounts NONE = new EvidenceCounts(0, 0, new LatencyCounts());

  /** Returns the counts that came after an earlier state of the same counts. */
  public EvidenceCounts since(EvidenceCounts earlier) {
    return new EvidenceCounts(
        ran - earlier.ran, failed - earlier.failed, latencies.since(earlier.latencies));
  }
}
