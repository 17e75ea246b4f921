package org.waxwingbeam.target;

/** Estimates the median latency of a service's responses from a stream of samples. */
final class MedianLatencyEstimator {
  private static final double RELATIVE_STEP = 0.01;
  private static final double MIN_NANOS = 1_000;
  private static final double LOWEST_RISE_PER_SAMPLE = 1e-4;

  private double nanos;
  private double lowestNanos;

  void addSample(double sampleNanos) {
    if (nanos == 0) {
      nanos = Math.max(MIN_NANOS, sampleNanos);
      lowestNanos = nanos;
      return;
    }
    nanos =
        Math.max(
            MIN_NANOS,
            sampleNanos > nanos ? nanos * (1 + RELATIVE_STEP) : nanos * (1 - RELATIVE_STEP));
    lowestNanos = Math.min(nanos, lowestNanos * (1 + LOWEST_RISE_PER_SAMPLE));
  }

  /**
   * Returns the lowest recent estimate, which approximates the median latency under low load. With
   * each sample it may rise slightly towards the current estimate.
   */
  double lowestNanos() {
    return lowestNanos;
  }

  /** Returns the estimate of the median, 0 if there was no sample yet. */
  double nanos() {
    return nanos;
  }
}
