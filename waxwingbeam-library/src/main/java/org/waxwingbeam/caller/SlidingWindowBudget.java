package org.waxwingbeam.caller;

import java.util.function.IntSupplier;

/**
 * Limits the retries and hedges within a sliding window to a share of the requests in that window
 * plus a fixed number for the whole fleet. Each entry instance counts its own requests and uses an
 * equal part of the fixed number, so that the fleet as a whole stays within the budget.
 *
 * <pre>{@code
 * SlidingWindowBudget budget =
 *     new SlidingWindowBudget(new SlidingWindowBudget.Limits(0.2, 58, windowNanos), () -> 15);
 * budget.onRequest(nowNanos);
 * boolean allowed = budget.tryAcquire(nowNanos);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class SlidingWindowBudget implements RetryBudget {
  /**
   * Fraction of the configured budget that is used. The rest covers retries that reach a target
   * later than they were sent, and so fall into another window.
   */
  private static final double USED_FRACTION = 0.75;

  /** Fraction of the used budget that hedges may use. */
  private static final double HEDGE_FRACTION = 2.0 / 3;

  private static final int SLICE_COUNT = 20;

  private final Limits limits;
  private final IntSupplier fleetSize;
  private final int[] requests = new int[SLICE_COUNT];

  /** Retries of failed attempts, and hedges. */
  private final int[] retries = new int[SLICE_COUNT];

  private final int[] hedges = new int[SLICE_COUNT];
  private long currentSlice = Long.MIN_VALUE / 2;

  /**
   * The retry budget of the whole fleet.
   *
   * @param ratio retries allowed for each request, at least 0
   * @param fixed further retries allowed in each window, at least 0
   * @param windowNanos the length of the window, at least one nanosecond for each of its 20 slices
   */
  public record Limits(double ratio, double fixed, long windowNanos) {
    /**
     * Checks the limits.
     *
     * @throws IllegalArgumentException if a limit is out of its range
     */
    public Limits {
      if (!(ratio >= 0) || !(fixed >= 0) || windowNanos < SLICE_COUNT) {
        throw new IllegalArgumentException(
            "retry budget: expected a ratio and a number of at least 0 and a window of at least"
                + " %d ns, found %s, %s and %d ns"
                    .formatted(SLICE_COUNT, ratio, fixed, windowNanos));
      }
    }
  }

  /**
   * Creates a budget.
   *
   * @param limits the budget of the whole fleet
   * @param fleetSize returns the number of entry instances, at least 1
   */
  public SlidingWindowBudget(Limits limits, IntSupplier fleetSize) {
    this.limits = limits;
    this.fleetSize = fleetSize;
  }

  @Override
  public synchronized void onRequest(long nowNanos) {
    advance(nowNanos);
    requests[index()]++;
  }

  @Override
  public void onSuccess(long percent) {}

  @Override
  public synchronized boolean tryAcquire(long nowNanos) {
    advance(nowNanos);
    boolean acquired = sum(retries) + 1 <= allowed();
    if (acquired) {
      retries[index()]++;
    }
    return acquired;
  }

  @Override
  public synchronized boolean tryAcquireHedge(long nowNanos) {
    advance(nowNanos);
    boolean acquired =
        sum(hedges) + 1 <= HEDGE_FRACTION * allowed() && sum(retries) + 1 <= allowed();
    if (acquired) {
      retries[index()]++;
      hedges[index()]++;
    }
    return acquired;
  }

  /** Returns the number of retries and hedges that the window allows. */
  private double allowed() {
    return USED_FRACTION
        * (limits.ratio() * sum(requests) + limits.fixed() / Math.max(1, fleetSize.getAsInt()));
  }

  private void advance(long nowNanos) {
    long slice = nowNanos / (limits.windowNanos() / SLICE_COUNT);
    long steps = Math.min(SLICE_COUNT, slice - currentSlice);
    for (long step = 1; step <= steps; step++) {
      int at = (int) Math.floorMod(slice - steps + step, (long) SLICE_COUNT);
      requests[at] = 0;
      retries[at] = 0;
      hedges[at] = 0;
    }
    currentSlice = Math.max(currentSlice, slice);
  }

  private int index() {
    return (int) Math.floorMod(currentSlice, (long) SLICE_COUNT);
  }

  private static int sum(int[] counts) {
    int sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }
}
