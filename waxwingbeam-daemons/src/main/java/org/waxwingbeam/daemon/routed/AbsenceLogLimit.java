package org.waxwingbeam.daemon.routed;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.replica.LeaderAbsence;

/** Limits how often is logged in full why there is no leader. */
final class AbsenceLogLimit {
  private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Least time between two lines of different causes, which may alternate. */
  private static final long CHANGE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private Optional<Logged> last = Optional.empty();

  private record Logged(long atNanos, LeaderAbsence.Cause cause) {}

  /**
   * Returns whether to log in full now, and counts that as done.
   *
   * @param nowNanos the current time
   * @param cause the cause to be logged
   */
  boolean tryAcquire(long nowNanos, LeaderAbsence.Cause cause) {
    boolean allowed = last.filter(each -> isTooSoon(each, nowNanos, cause)).isEmpty();
    if (allowed) {
      last = Optional.of(new Logged(nowNanos, cause));
    }
    return allowed;
  }

  private static boolean isTooSoon(Logged logged, long nowNanos, LeaderAbsence.Cause cause) {
    long interval = logged.cause() == cause ? INTERVAL_NANOS : CHANGE_INTERVAL_NANOS;
    return nowNanos - logged.atNanos() < interval;
  }
}
