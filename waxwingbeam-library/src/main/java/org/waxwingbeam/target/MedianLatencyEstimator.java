package org.waxwingbeam.target;

/** Estimates the median latency of a service's answers from a stream of samples. */
final class MedianLatencyEstimator {
  private static final double STEP = 0.01;
  private static final double LEAST_NANOS = 1_000;

  private static final double RISE = 1e-4;

  private double nanos;
  private double leastNanos;

  void note(double sampleNanos) {
    if (nanos == 0) {
      nanos = Math.max(LEAST_NANOS, sampleNanos);
      leastNanos = nanos;
      return;
    }
    nanos = Math.max(LEAST_NANOS, sampleNanos > nanos ? nanos * (1 + STEP) : nanos * (1 - STEP));
    leastNanos = Math.min(nanos, leastNanos * (1 + RISE));
  }

  /** Returns the median while the service was least loaded; it rises slowly. */
  double leastNanos() {
    return leastNanos;
  }

  /** Returns the estimate, 0 if there was no sample yet. */
  double nanos() {
    return nanos;
  }
}
