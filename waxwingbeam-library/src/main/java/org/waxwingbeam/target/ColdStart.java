package org.waxwingbeam.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the cold start of one target: which entry instance may send requests to it, how many, and
 * whether it is warm.
 *
 * <p>Only one entry instance, the owner, sends requests to a cold target, and it keeps the
 * outstanding requests within the target's cold capacity. When the target turns warm, its
 * concurrency limit rises to the full value in steps.
 */
final class ColdStart {
  private static final int RESPONSES_TO_WARM = 24;
  private static final long PRESUMED_WARM_AFTER_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Maximum mean latency of a warm target, as a multiple of the typical latency. */
  private static final double MAX_WARM_LATENCY_FACTOR = 2;

  /** Multiple of the typical latency above which a response of a warm target is slow. */
  private static final double SLOW_LATENCY_FACTOR = 5;

  private static final int SLOW_RESPONSES = 8;
  private static final long MAX_BURST_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  private static final int RAMP_STEPS = 4;
  private static final long RAMP_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Time for which a request that has ended here is assumed to run on at the target. */
  private static final long CANCELLED_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Deque<Long> reservedUntilNanos = new ArrayDeque<>();
  private final Deque<Double> recentLatenciesNanos = new ArrayDeque<>();
  private boolean cold = true;
  private boolean owned;
  private long ownedFromNanos;
  private long warmSinceNanos;
  private long coldSinceNanos = Long.MIN_VALUE / 2;
  private int slowResponses;
  private long slowSinceNanos;

  boolean isCold() {
    return cold;
  }

  /** Sets whether the target is cold. A target that turns warm starts its ramp-up. */
  void setCold(long nowNanos, boolean isCold) {
    if (cold && !isCold) {
      warmSinceNanos = nowNanos;
    }
    if (!cold && isCold) {
      coldSinceNanos = nowNanos;
    }
    if (cold != isCold) {
      recentLatenciesNanos.clear();
      slowResponses = 0;
    }
    cold = isCold;
  }

  /**
   * Sets whether this entry instance owns the target while it is cold.
   *
   * @param fromNanos earliest time at which it may send requests if it is the owner
   */
  void setOwned(boolean isOwned, long fromNanos) {
    if (!owned || !isOwned) {
      ownedFromNanos = fromNanos;
    }
    owned = isOwned;
  }

  /** Returns how many more requests this entry instance may send; 0 if it is not the owner. */
  int remainingCapacity(long nowNanos, int coldCapacity, int inFlight) {
    if (!owned || nowNanos < ownedFromNanos) {
      return 0;
    }
    return coldCapacity - inFlight - reserved(nowNanos);
  }

  /**
   * Returns the fraction of its concurrency limit that a warm target has now; it rises in steps to
   * 1.
   */
  double rampFraction(long nowNanos) {
    long steps = 1 + (nowNanos - warmSinceNanos) / RAMP_STEP_NANOS;
    return Math.min(RAMP_STEPS, steps) / (double) RAMP_STEPS;
  }

  /**
   * Returns the time of the next step of the ramp-up, or {@link Long#MAX_VALUE} if there is none.
   */
  long nextRampStepNanos(long nowNanos) {
    long elapsedNanos = nowNanos - warmSinceNanos;
    return cold || elapsedNanos >= (RAMP_STEPS - 1) * RAMP_STEP_NANOS
        ? Long.MAX_VALUE
        : warmSinceNanos + (elapsedNanos / RAMP_STEP_NANOS + 1) * RAMP_STEP_NANOS;
  }

  /** Reserves capacity for a request that has ended here but may still be running at the target. */
  void reserveForCancelled(long nowNanos) {
    reservedUntilNanos.addLast(nowNanos + CANCELLED_RUN_NANOS);
  }

  /**
   * Records the latency of a response of the cold target. Returns whether the latest {@link
   * #RESPONSES_TO_WARM} responses were fast enough on average to consider the target warm.
   *
   * @param typicalNanos the service's median latency under low load, 0 if it is not known
   */
  boolean recordWhileCold(double latencyNanos, double typicalNanos) {
    recentLatenciesNanos.addLast(latencyNanos);
    if (recentLatenciesNanos.size() > RESPONSES_TO_WARM) {
      recentLatenciesNanos.removeFirst();
    }
    return recentLatenciesNanos.size() == RESPONSES_TO_WARM
        && (typicalNanos == 0 || meanLatencyNanos() <= MAX_WARM_LATENCY_FACTOR * typicalNanos);
  }

  /**
   * Records the latency of a response of the warm target. Returns whether the target is to be
   * considered cold: every response has been slow for longer than a burst of load from a noisy
   * neighbour lasts.
   *
   * @param typicalNanos the service's median latency, 0 if it is not known
   */
  boolean recordWhileWarm(long nowNanos, double latencyNanos, double typicalNanos) {
    if (typicalNanos == 0 || latencyNanos <= SLOW_LATENCY_FACTOR * typicalNanos) {
      slowResponses = 0;
      return false;
    }
    slowSinceNanos = slowResponses == 0 ? nowNanos : slowSinceNanos;
    slowResponses++;
    return slowResponses >= SLOW_RESPONSES && nowNanos - slowSinceNanos >= MAX_BURST_NANOS;
  }

  /**
   * Returns whether the cold target may be considered warm without enough responses: this entry
   * instance has owned it for {@link #PRESUMED_WARM_AFTER_NANOS}, and its responses so far, if any,
   * were fast enough on average.
   *
   * @param typicalNanos the service's median latency under low load, 0 if it is not known
   */
  boolean isPresumedWarm(long nowNanos, double typicalNanos) {
    long since = Math.max(coldSinceNanos, ownedFromNanos);
    return cold
        && owned
        && nowNanos - since >= PRESUMED_WARM_AFTER_NANOS
        && (recentLatenciesNanos.isEmpty()
            || typicalNanos == 0
            || meanLatencyNanos() <= MAX_WARM_LATENCY_FACTOR * typicalNanos);
  }

  private double meanLatencyNanos() {
    return recentLatenciesNanos.stream().mapToDouble(Double::doubleValue).average().orElse(0);
  }

  private int reserved(long nowNanos) {
    while (!reservedUntilNanos.isEmpty() && reservedUntilNanos.peekFirst() <= nowNanos) {
      reservedUntilNanos.removeFirst();
    }
    return reservedUntilNanos.size();
  }
}
