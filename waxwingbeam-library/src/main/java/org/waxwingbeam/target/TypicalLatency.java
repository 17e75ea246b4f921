package org.waxwingbeam.target;

/** Estimates the median latency of a service's answers from a stream of samples. */
final class TypicalLatency {
  private static final double STEP = 0.01;
  private static final double LEAST_NANOS = 1_000;

  private double nanos;

  void note(double sampleNanos) {
    if (nanos == 0) {
      nanos = Math.max(LEAST_NANOS, sampleNanos);
      return;
    }
    nanos = Math.max(LEAST_NANOS, sampleNanos > nanos ? nanos * (1 + STEP) : nanos * (1 - STEP));
  }

  /** Returns the estimate, 0 if there was no sample yet. */
  double nanos() {
    return nanos;
  }
}
