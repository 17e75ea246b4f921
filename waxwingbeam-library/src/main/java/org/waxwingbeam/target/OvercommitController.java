package org.waxwingbeam.target;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.TargetId;

/**
 * Divides the targets' concurrency limits into quotas at several overcommit levels, and adapts the
 * level to whether attempts wait at this entry instance.
 */
final class OvercommitController {
  private static final double FACTOR_STEP = 0.5;
  private static final long RAISE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long LOWER_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final double[] factors;
  private int level;
  private long lastChangeNanos;
  private boolean wasWaiting;

  OvercommitController(ChoicePolicy policy) {
    this.factors = policy instanceof ChoicePolicy.Quota quota ? factors(quota) : new double[0];
  }

  private static double[] factors(ChoicePolicy.Quota quota) {
    double range = quota.maxOvercommit() - quota.minOvercommit();
    int steps = (int) Math.round(range / FACTOR_STEP);
    double[] factors = new double[steps + 1];
    Arrays.setAll(factors, step -> quota.minOvercommit() + step * FACTOR_STEP);
    return factors;
  }

  /** Returns the level in use, 0 for the least overcommit. */
  int level() {
    return level;
  }

  /**
   * Raises the level while attempts wait, and lowers it while none has been waiting for some time.
   */
  void adapt(long nowNanos, int waiting) {
    if (waiting > 0 != wasWaiting) {
      wasWaiting = waiting > 0;
      lastChangeNanos = nowNanos;
    } else if (wasWaiting && nowNanos - lastChangeNanos >= RAISE_AFTER_NANOS) {
      level = Math.min(level + 1, Math.max(0, factors.length - 1));
      lastChangeNanos = nowNanos;
    } else if (!wasWaiting && nowNanos - lastChangeNanos >= LOWER_AFTER_NANOS) {
      level = Math.max(level - 1, 0);
      lastChangeNanos = nowNanos;
    }
  }

  /** Sets this entry instance's quota at each target for every level. */
  void partition(
      long nowNanos, List<TargetState> targets, List<InstanceName> entries, InstanceName self) {
    int ownIndex = entries.indexOf(self);
    if (factors.length == 0 || ownIndex < 0) {
      return;
    }
    int size = targets.size();
    int[][] quotas = new int[size][factors.length];
    List<TargetId> ids = targets.stream().map(TargetState::id).toList();
    QuotaAllocation allocation = new QuotaAllocation(entries);
    int[] from = new int[size];
    for (int levelIndex = 0; levelIndex < factors.length; levelIndex++) {
      int[] upTo = limits(nowNanos, targets, factors[levelIndex]);
      int[][] allocated = allocation.allocate(ids, from, upTo);
      for (int target = 0; target < size; target++) {
        int lowerLevelQuota = levelIndex == 0 ? 0 : quotas[target][levelIndex - 1];
        quotas[target][levelIndex] = lowerLevelQuota + allocated[target][ownIndex];
      }
      from = upTo;
    }
    for (int target = 0; target < size; target++) {
      targets.get(target).setQuotas(quotas[target]);
    }
  }

  private static int[] limits(long nowNanos, List<TargetState> targets, double factor) {
    return targets.stream().mapToInt(each -> limit(nowNanos, each, factor)).toArray();
  }

  private static int limit(long nowNanos, TargetState target, double factor) {
    if (target.coldStart().isCold()) {
      return 0;
    }
    double limit =
        target.announcement().slots() * factor * target.coldStart().rampFraction(nowNanos);
    return (int) Math.max(1, Math.round(limit));
  }
}
