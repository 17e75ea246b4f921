package org.waxwingbeam.target;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.TargetId;

/**
 * Partitions concurrency limits at several levels of overcommit, and picks the level by what waits
 * at this entry instance.
 */
final class OvercommitController {
  private static final double STEP = 0.5;
  private static final long RAISE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long LOWER_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final double[] factors;
  private int level;
  private long lastChange;
  private boolean waited;

  OvercommitController(ChoicePolicy policy) {
    this.factors = policy instanceof ChoicePolicy.Quota quota ? factors(quota) : new double[0];
  }

  private static double[] factors(ChoicePolicy.Quota quota) {
    double range = quota.maxOvercommit() - quota.minOvercommit();
    int steps = (int) Math.round(range / STEP);
    double[] factors = new double[steps + 1];
    Arrays.setAll(factors, step -> quota.minOvercommit() + step * STEP);
    return factors;
  }

  /** Returns the level in use, 0 for the least overcommit. */
  int level() {
    return level;
  }

  /** Raises the level while attempts wait and lowers it once none has waited for a time. */
  void adapt(long nowNanos, int waiting) {
    if (waiting > 0 != waited) {
      waited = waiting > 0;
      lastChange = nowNanos;
    } else if (waited && nowNanos - lastChange >= RAISE_AFTER_NANOS) {
      level = Math.min(level + 1, Math.max(0, factors.length - 1));
      lastChange = nowNanos;
    } else if (!waited && nowNanos - lastChange >= LOWER_AFTER_NANOS) {
      level = Math.max(level - 1, 0);
      lastChange = nowNanos;
    }
  }

  /** Sets this entry instance's part of each target's concurrency limit at every level. */
  void partition(
      long nowNanos, List<TargetState> targets, List<InstanceName> entries, InstanceName self) {
    int own = entries.indexOf(self);
    if (factors.length == 0 || own < 0) {
      return;
    }
    int size = targets.size();
    int[][] quotas = new int[size][factors.length];
    List<TargetId> ids = targets.stream().map(TargetState::id).toList();
    QuotaAllocation allocation = new QuotaAllocation(entries);
    int[] from = new int[size];
    for (int each = 0; each < factors.length; each++) {
      int[] upTo = limits(nowNanos, targets, factors[each]);
      int[][] given = allocation.allocate(ids, from, upTo);
      for (int target = 0; target < size; target++) {
        int before = each == 0 ? 0 : quotas[target][each - 1];
        quotas[target][each] = before + given[target][own];
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
    double limit = target.announcement().slots() * factor * target.coldStart().ramp(nowNanos);
    return (int) Math.max(1, Math.round(limit));
  }
}
