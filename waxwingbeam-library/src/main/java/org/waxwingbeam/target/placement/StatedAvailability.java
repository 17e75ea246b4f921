package org.waxwingbeam.target.placement;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.waxwingbeam.target.TargetNotice;

/**
 * What one start of a target has stated in its responses to this entry instance: that it leaves, or
 * that it wants no requests for a while. Placement, hedges, retries and status checks all ask here,
 * under any load.
 */
final class StatedAvailability {
  private static final long NANOS_PER_MS = 1_000_000;

  /**
   * Part of a time of rest by which its end is delayed at random, so that the entry instances do
   * not return at the same moment.
   */
  private static final double MAX_DELAY_SHARE = 0.2;

  private static final long MAX_DELAY_NANOS = 500 * NANOS_PER_MS;

  private final RandomGenerator random;
  private final long leaveGraceNanos;
  private Optional<Long> leavingSinceNanos = Optional.empty();
  private Optional<Long> restUntilNanos = Optional.empty();

  /**
   * Creates the state of a target that has stated nothing.
   *
   * @param random delays the end of a rest
   * @param leaveGraceNanos time after the first notice in which a target that leaves still serves
   *     requests that no other target can serve
   */
  StatedAvailability(RandomGenerator random, long leaveGraceNanos) {
    this.random = random;
    this.leaveGraceNanos = leaveGraceNanos;
  }

  /** Applies a notice. It takes back nothing that was stated before. */
  void apply(long nowNanos, TargetNotice notice) {
    if (notice.leaving() && leavingSinceNanos.isEmpty()) {
      leavingSinceNanos = Optional.of(nowNanos);
    }
    if (notice.restMs() > 0) {
      long restNanos = notice.restMs() * NANOS_PER_MS;
      long maxDelayNanos = Math.min((long) (restNanos * MAX_DELAY_SHARE), MAX_DELAY_NANOS);
      long untilNanos = nowNanos + restNanos + (long) (random.nextDouble() * maxDelayNanos);
      restUntilNanos =
          restUntilNanos.filter(each -> each - untilNanos > 0).or(() -> Optional.of(untilNanos));
    }
  }

  /** Returns whether requests and status checks may be sent. */
  boolean allowsRequests(long nowNanos) {
    return !isLeaving() && !isResting(nowNanos);
  }

  /** Returns whether a request may be sent that no other target can serve. */
  boolean allowsLastResort(long nowNanos) {
    return !isResting(nowNanos)
        && leavingSinceNanos.filter(each -> nowNanos - each >= leaveGraceNanos).isEmpty();
  }

  boolean isLeaving() {
    return leavingSinceNanos.isPresent();
  }

  boolean isResting(long nowNanos) {
    return restLeftNanos(nowNanos) > 0;
  }

  /** Returns the time until the end of the rest, or 0. */
  long restLeftNanos(long nowNanos) {
    return restUntilNanos.map(each -> Math.max(0, each - nowNanos)).orElse(0L);
  }
}
