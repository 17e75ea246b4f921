package org.waxwingbeam.caller;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.waxwingbeam.model.ErrorKind;

/**
 * Computes the delay after which a caller may retry a request that has not run. The delay is
 * randomized, so that callers refused at the same moment do not retry at the same moment, and is
 * bounded by a part of the caller's remaining time, so that a retry can still be served.
 *
 * <pre>{@code
 * long afterMs = RetryAfterDelay.delayMs(ErrorKind.OVERLOADED, 0, Optional.of(900L), random);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class RetryAfterDelay {
  /** A few typical response times, after which a target probably has a free slot. */
  private static final long FREE_SLOT_MS = 200;

  /** Time in which an entry instance that has reached a control replica learns the targets. */
  private static final long TARGETS_KNOWN_MS = 500;

  /** Short, because another entry instance can serve the request at once. */
  private static final long OTHER_INSTANCE_MS = 20;

  /** Callers ignore a delay that exceeds a third of their remaining time. */
  private static final long REMAINING_TIME_DIVISOR = 3;

  private RetryAfterDelay() {}

  /**
   * Returns the delay in milliseconds, or 0 if the request should not be retried unchanged.
   *
   * @param kind why the request was refused
   * @param suggestedMs the delay until a target is expected to be free, or 0 if not known
   * @param leftMs the time until the caller's deadline, if it has one
   * @param random varies the delay between 0.5 and 1.5 times the expected one
   */
  public static long delayMs(
      ErrorKind kind, long suggestedMs, Optional<Long> leftMs, RandomGenerator random) {
    if (kind.run() != ErrorKind.Run.NO || kind.retryAdvice() == ErrorKind.Retry.NEVER) {
      return 0;
    }
    long expectedMs = suggestedMs > 0 ? suggestedMs : expectedMs(kind);
    long spreadMs = Math.max(1, (long) (expectedMs * (0.5 + random.nextDouble())));
    return leftMs
        .map(each -> Math.max(1, Math.min(spreadMs, each / REMAINING_TIME_DIVISOR)))
        .orElse(spreadMs);
  }

  private static long expectedMs(ErrorKind kind) {
    return switch (kind) {
      case ISOLATED, NO_TARGET, NO_CLAIM -> TARGETS_KNOWN_MS;
      case SHUTTING_DOWN, DATA_CENTRE_OUT -> OTHER_INSTANCE_MS;
      default -> FREE_SLOT_MS;
    };
  }
}
