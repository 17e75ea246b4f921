package org.waxwingbeam.tools.measure.versions;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.waxwingbeam.model.TargetId;

/** A model of a target: slots, a queue, a cold start, and slow phases due to noisy neighbours. */
final class ModelTarget {
  static final int SLOTS = 4;
  static final int COLD_CAPACITY = 1;

  private static final long WARM_UP_MS = 5_000;
  private static final double COLD_FACTOR = 2;
  private static final long MEAN_NORMAL_MS = 2_000;
  private static final long MIN_SLOW_MS = 5;
  private static final long MAX_SLOW_MS = 500;

  final TargetId id;
  final int dataCentre;
  final boolean newVersion;
  final Deque<ModelRequest> queue = new ArrayDeque<>();
  final Set<ModelRequest> running = new HashSet<>();
  private final SplittableRandom random;
  private boolean startsCold;
  private double firstRequestMs = -1;
  private double slowStartMs;
  private double slowEndMs;
  private double slowFactor;
  private double extraSlowUntilMs;
  double downUntilMs;
  boolean outOfService;

  ModelTarget(TargetId id, int dataCentre, boolean newVersion, SplittableRandom random) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.newVersion = newVersion;
    this.random = random;
    scheduleSlowPhase(0);
  }

  void setStartsCold() {
    startsCold = true;
  }

  void setNoisyUntil(double untilMs) {
    extraSlowUntilMs = untilMs;
  }

  boolean isUsable(double nowMs) {
    return !outOfService && nowMs >= downUntilMs;
  }

  boolean isCold(double nowMs) {
    return startsCold && (firstRequestMs < 0 || nowMs - firstRequestMs < WARM_UP_MS);
  }

  int capacity(double nowMs) {
    return isCold(nowMs) ? COLD_CAPACITY : SLOTS;
  }

  double load(double nowMs) {
    return (double) (running.size() + queue.size()) / capacity(nowMs);
  }

  /** Returns a random service time for the next request, in milliseconds. */
  double nextServiceMs(double nowMs, double meanMs) {
    if (firstRequestMs < 0) {
      firstRequestMs = nowMs;
    }
    while (nowMs >= slowEndMs) {
      scheduleSlowPhase(slowEndMs);
    }
    double factor = nowMs >= slowStartMs ? slowFactor : 1;
    factor *= nowMs < extraSlowUntilMs ? slowFactor : 1;
    factor *= isCold(nowMs) ? COLD_FACTOR : 1;
    return random.nextExponential() * meanMs * factor;
  }

  private void scheduleSlowPhase(double fromMs) {
    slowStartMs = fromMs + random.nextExponential() * MEAN_NORMAL_MS;
    slowEndMs = slowStartMs + random.nextDouble(MIN_SLOW_MS, MAX_SLOW_MS);
    slowFactor = random.nextDouble(3, 6);
  }
}
