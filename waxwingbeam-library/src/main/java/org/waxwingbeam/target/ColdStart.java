package org.waxwingbeam.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Follows the cold start of one target: who may send to it, how much, and when it is warm.
 *
 * <p>A cold target has one owner among the entry instances, which keeps the work under way there
 * within the cold capacity. After that the limit rises in steps.
 */
final class ColdStart {
  private static final int RESPONSES_TO_WARM = 24;
  private static final long UNCONTESTED_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final double WARM_FACTOR = 2;
  private static final double SLOW_FACTOR = 5;
  private static final int SLOW_RESPONSES = 8;
  private static final long LONGEST_BURST_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  private static final int RAMP_STEPS = 4;
  private static final long RAMP_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long CANCEL_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Deque<Long> occupiedUntil = new ArrayDeque<>();
  private final Deque<Double> responses = new ArrayDeque<>();
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

  /** Sets whether the target is cold; a target that turns warm begins its ramp. */
  void setCold(long nowNanos, boolean isCold) {
    if (cold && !isCold) {
      warmSinceNanos = nowNanos;
    }
    if (!cold && isCold) {
      coldSinceNanos = nowNanos;
    }
    if (cold != isCold) {
      responses.clear();
      slowResponses = 0;
    }
    cold = isCold;
  }

  /**
   * Sets whether this entry instance owns the target while it is cold.
   *
   * @param fromNanos when it may begin to send, if it does
   */
  void setOwned(boolean isOwned, long fromNanos) {
    if (!owned || !isOwned) {
      ownedFromNanos = fromNanos;
    }
    owned = isOwned;
  }

  /** Returns how many more requests the owner may send to the cold target. */
  int free(long nowNanos, int coldCapacity, int inFlight) {
    if (!owned || nowNanos < ownedFromNanos) {
      return 0;
    }
    return coldCapacity - inFlight - occupied(nowNanos);
  }

  /** Returns the part of its limit that a warm target gets, in steps up to 1. */
  double ramp(long nowNanos) {
    long steps = 1 + (nowNanos - warmSinceNanos) / RAMP_STEP_NANOS;
    return Math.min(RAMP_STEPS, steps) / (double) RAMP_STEPS;
  }

  /** Returns when the ramp takes its next step, or the greatest value if it takes none. */
  long nextStepNanos(long nowNanos) {
    long passed = nowNanos - warmSinceNanos;
    return cold || passed >= (RAMP_STEPS - 1) * RAMP_STEP_NANOS
        ? Long.MAX_VALUE
        : warmSinceNanos + (passed / RAMP_STEP_NANOS + 1) * RAMP_STEP_NANOS;
  }

  /** Keeps the place of a request that may go on at the target after its end here. */
  void occupy(long nowNanos) {
    occupiedUntil.addLast(nowNanos + CANCEL_GRACE_NANOS);
  }

  /** Counts an answer of the cold target; returns whether it shows that the target is warm. */
  boolean showsWarm(double latencyNanos, double typicalNanos) {
    responses.addLast(latencyNanos);
    if (responses.size() > RESPONSES_TO_WARM) {
      responses.removeFirst();
    }
    return responses.size() == RESPONSES_TO_WARM
        && (typicalNanos == 0 || mean() <= WARM_FACTOR * typicalNanos);
  }

  /**
   * Counts an answer of the warm target; returns whether it shows that the target is cold: every
   * answer for longer than a noisy neighbour's burst was slow.
   */
  boolean showsCold(long nowNanos, double latencyNanos, double typicalNanos) {
    if (typicalNanos == 0 || latencyNanos <= SLOW_FACTOR * typicalNanos) {
      slowResponses = 0;
      return false;
    }
    slowSinceNanos = slowResponses == 0 ? nowNanos : slowSinceNanos;
    slowResponses++;
    return slowResponses >= SLOW_RESPONSES && nowNanos - slowSinceNanos >= LONGEST_BURST_NANOS;
  }

  /**
   * Returns whether this entry instance has owned the cold target for a while in which no answer
   * spoke against its being warm.
   */
  boolean isLongUncontested(long nowNanos, double typicalNanos) {
    long since = Math.max(coldSinceNanos, ownedFromNanos);
    return cold
        && owned
        && nowNanos - since >= UNCONTESTED_NANOS
        && (responses.isEmpty() || typicalNanos == 0 || mean() <= WARM_FACTOR * typicalNanos);
  }

  private double mean() {
    return responses.stream().mapToDouble(Double::doubleValue).average().orElse(0);
  }

  private int occupied(long nowNanos) {
    while (!occupiedUntil.isEmpty() && occupiedUntil.peekFirst() <= nowNanos) {
      occupiedUntil.removeFirst();
    }
    return occupiedUntil.size();
  }
}
