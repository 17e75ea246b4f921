package org.waxwingbeam.target.version;

/**
 * Decides at one entry instance, after each response, whether a new version fails so much more
 * often than the old one that the entry instance stops it without waiting for the leader of the
 * control replicas. Not thread-safe.
 *
 * <p>It adds up log-likelihood ratios of a failure rate of 0.9 against the failure rate of the old
 * version, with a lower bound of 0 on the sum. The threshold corresponds to less than one false
 * stop in a billion starts of independent requests. At most two failures of one group of targets
 * within a short time are counted, because one crash may have caused all of them.
 */
final class LocalStopRule {
  private static final double LOG_THRESHOLD = Math.log(1e9);
  private static final double BAD_RATE = 0.9;
  private static final double MIN_OLD_RATE = 0.02;
  private static final double OLD_RATE_TOLERANCE_FACTOR = 3;
  private static final double PRIOR_REQUESTS = 20;
  private static final double PRIOR_FAILURES = 1;
  private static final double OLD_DECAY_FACTOR = 0.995;
  private static final long BURST_NANOS = 250_000_000;
  private static final int MAX_FAILURES_IN_BURST = 2;

  private final long[] burstStart = new long[SampleKey.TARGET_GROUPS];
  private final int[] burstFailures = new int[SampleKey.TARGET_GROUPS];
  private double oldCompleted;
  private double oldFailed;
  private double sum;

  void addOldVersionResponse(boolean failed) {
    oldCompleted = oldCompleted * OLD_DECAY_FACTOR + 1;
    oldFailed = oldFailed * OLD_DECAY_FACTOR + (failed ? 1 : 0);
  }

  /** Adds a response of the new version and returns whether the version is to be stopped. */
  boolean addNewVersionResponse(long nowNanos, int targetGroup, boolean failed) {
    if (failed && !isCounted(nowNanos, targetGroup)) {
      return false;
    }
    double oldRate = (oldFailed + PRIOR_FAILURES) / (oldCompleted + PRIOR_REQUESTS);
    double rate = Math.min(BAD_RATE, Math.max(MIN_OLD_RATE, OLD_RATE_TOLERANCE_FACTOR * oldRate));
    double ratio = failed ? BAD_RATE / rate : (1 - BAD_RATE) / (1 - rate);
    sum = Math.max(0, sum + Math.log(ratio));
    return sum >= LOG_THRESHOLD;
  }

  /** Counts a failure and returns whether it is within the limit of its burst. */
  private boolean isCounted(long nowNanos, int targetGroup) {
    if (burstFailures[targetGroup] == 0 || nowNanos - burstStart[targetGroup] > BURST_NANOS) {
      burstStart[targetGroup] = nowNanos;
      burstFailures[targetGroup] = 0;
    }
    burstFailures[targetGroup]++;
    return burstFailures[targetGroup] <= MAX_FAILURES_IN_BURST;
  }
}
