package org.waxwingbeam.target.version;

/**
 * Detects a change in a sequence of independent observations by the CUSUM method: cumulative sums
 * of log-likelihood ratios with a lower bound of 0, one for each alternative hypothesis. Not
 * thread-safe.
 *
 * <p>As long as there is no change, the probability that a sum exceeds {@code log(t)} within {@code
 * n} steps is at most {@code n / t}.
 */
final class CusumDetector {
  private final double[] sums;

  CusumDetector(int alternatives) {
    sums = new double[alternatives];
  }

  /** Adds the log-likelihood ratio of one step for one alternative hypothesis. */
  void add(int alternative, double logRatio) {
    sums[alternative] = Math.max(0, sums[alternative] + logRatio);
  }

  /** Returns the greatest sum. */
  double maxSum() {
    double max = 0;
    for (double sum : sums) {
      max = Math.max(max, sum);
    }
    return max;
  }
}
