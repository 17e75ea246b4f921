package org.waxwingbeam.tools.measure.versions;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.waxwingbeam.model.TargetId;

/** A model of a target: slots, a queue, a cold start, and a machine with noisy neighbours. */
final class ModelTarget {
  static final int SLOTS = 4;
  static final int COLD_CAPACITY = 1;

  private static final long WARM_UP_MS = 5_000;
  private static final double COLD_FACTOR = 2;
  private static final long MEAN_QUIET_MS = 2_000;
  private static final long MIN_SPELL_MS = 5;
  private static final long MAX_SPELL_MS = 500;

  final TargetId id;
  final int dataCentre;
  final boolean fresh;
  final Deque<ModelRequest> waiting = new ArrayDeque<>();
  final Set<ModelRequest> running = new HashSet<>();
  private final SplittableRandom random;
  private boolean startsCold;
  private double firstRequestMs = -1;
  private double spellStartMs;
  private double spellEndMs;
  private double spellFactor;
  private double extraNoiseUntilMs;
  double downUntilMs;
  boolean out;

  ModelTarget(TargetId id, int dataCentre, boolean fresh, SplittableRandom random) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.fresh = fresh;
    this.random = random;
    drawSpell(0);
  }

  void setCold() {
    startsCold = true;
  }

  void setNoisyUntil(double untilMs) {
    extraNoiseUntilMs = untilMs;
  }

  boolean isUsable(double nowMs) {
    return !out && nowMs >= downUntilMs;
  }

  boolean isCold(double nowMs) {
    return startsCold && (firstRequestMs < 0 || nowMs - firstRequestMs < WARM_UP_MS);
  }

  int capacity(double nowMs) {
    return isCold(nowMs) ? COLD_CAPACITY : SLOTS;
  }

  double load(double nowMs) {
    return (double) (running.size() + waiting.size()) / capacity(nowMs);
  }

  /** Draws how long a request takes, in milliseconds. */
  double serviceMs(double nowMs, double meanMs) {
    if (firstRequestMs < 0) {
      firstRequestMs = nowMs;
    }
    while (nowMs >= spellEndMs) {
      drawSpell(spellEndMs);
    }
    double factor = nowMs >= spellStartMs ? spellFactor : 1;
    factor *= nowMs < extraNoiseUntilMs ? spellFactor : 1;
    factor *= isCold(nowMs) ? COLD_FACTOR : 1;
    return random.nextExponential() * meanMs * factor;
  }

  private void drawSpell(double fromMs) {
    spellStartMs = fromMs + random.nextExponential() * MEAN_QUIET_MS;
    spellEndMs = spellStartMs + random.nextDouble(MIN_SPELL_MS, MAX_SPELL_MS);
    spellFactor = random.nextDouble(3, 6);
  }
}
