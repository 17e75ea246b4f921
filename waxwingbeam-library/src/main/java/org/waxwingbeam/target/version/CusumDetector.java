package org.waxwingbeam.target.version;

/**
 * Detects a change from independent evidence values, by cumulative sums of log-likelihood ratios
 * that start over at 0. One sum is kept for each alternative. Not safe for use by several threads.
 *
 * <p>While nothing has changed, the probability that a sum passes {@code log(t)} within {@code n}
 * steps is at most {@code n / t}.
 */
final class CusumDetector {
  private final double[] sums;

  CusumDetector(int alternatives) {
    sums = new double[alternatives];
  }

  /** Adds one step's log-likelihood ratio for one alternative. */
  void add(int alternative, double logRatio) {
    sums[alternative] = Math.max(0, sums[alternative] + logRatio);
  }

  /** Returns the greatest sum. */
  double strength() {
    double strength = 0;
    for (double sum : sums) {
      strength = Math.max(strength, sum);
    }
    return strength;
  }
}
