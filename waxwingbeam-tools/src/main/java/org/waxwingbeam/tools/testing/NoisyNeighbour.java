package org.waxwingbeam.tools.testing;

import java.util.SplittableRandom;

/**
 * Simulates other load on a machine, which slows it down by a factor of 3 or 6 in bursts of 5 to
 * 500 ms, about every 2 s.
 *
 * @since 0.1.0
 */
public final class NoisyNeighbour {
  private static final double MEAN_PAUSE_NANOS = 2e9;
  private static final long MIN_BURST_NANOS = 5_000_000;
  private static final long MAX_BURST_NANOS = 500_000_000;

  private final SplittableRandom random;
  private final boolean quiet;
  private long burstStart;
  private long burstEnd;
  private int slowdown;

  /**
   * Creates a noisy neighbour.
   *
   * @param random source of the times, lengths and factors of the bursts
   * @param quiet whether to have no bursts at all
   */
  public NoisyNeighbour(SplittableRandom random, boolean quiet) {
    this.random = random;
    this.quiet = quiet;
    drawNextBurst();
  }

  /**
   * Returns when a job ends. Start times must not go back by more than one burst.
   *
   * @param startNanos when the job starts
   * @param workNanos how long the job takes outside bursts
   */
  public long completionNanos(long startNanos, long workNanos) {
    if (quiet) {
      return startNanos + workNanos;
    }
    while (burstEnd <= startNanos) {
      drawNextBurst();
    }
    long quietNanos = Math.max(0, burstStart - startNanos);
    if (workNanos <= quietNanos) {
      return startNanos + workNanos;
    }
    long slowStart = Math.max(startNanos, burstStart);
    long slowedWorkNanos = (workNanos - quietNanos) * slowdown;
    long burstNanosLeft = burstEnd - slowStart;
    return slowedWorkNanos <= burstNanosLeft
        ? slowStart + slowedWorkNanos
        : burstEnd + (slowedWorkNanos - burstNanosLeft) / slowdown;
  }

  private void drawNextBurst() {
    long pauseNanos = (long) (-Math.log(1 - random.nextDouble()) * MEAN_PAUSE_NANOS);
    burstStart = burstEnd + pauseNanos;
    burstEnd = burstStart + random.nextLong(MIN_BURST_NANOS, MAX_BURST_NANOS);
    slowdown = random.nextBoolean() ? 3 : 6;
  }
}
