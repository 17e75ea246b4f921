package org.waxwingbeam.caller;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.waxwingbeam.model.ErrorKind;

/**
 * Chooses when a caller whose request has not run may come back. Callers that are refused at the
 * same moment come back at different times, and each of them while it still has time to be served.
 *
 * <pre>{@code
 * long afterMs = RetryAfter.chooseMs(ErrorKind.OVERLOADED, 0, Optional.of(900L), random);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class RetryAfterDelay {
  /** Time after which another target is probably free: a few usual answers. */
  private static final long ROOM_MS = 200;

  /** Time after which targets are known again, once an entry instance has reached a replica. */
  private static final long KNOWLEDGE_MS = 500;

  /** Time after which another entry instance serves: it needs no time of its own. */
  private static final long ELSEWHERE_MS = 20;

  /** Part of the time left after which callers do not wait as told. */
  private static final long LEFT_DIVISOR = 3;

  private RetryAfterDelay() {}

  /**
   * Returns the time in milliseconds, or 0 if the request should not be sent again as it is.
   *
   * @param kind why the request was refused
   * @param suggestedMs when the decision that refused it expects room, or 0 if it says nothing
   * @param leftMs the time that the caller will still wait, if it has stated one
   * @param random spreads callers over half to one and a half times the expected time
   */
  public static long delayMs(
      ErrorKind kind, long suggestedMs, Optional<Long> leftMs, RandomGenerator random) {
    if (kind.run() != ErrorKind.Run.NO || kind.retryAdvice() == ErrorKind.Retry.NEVER) {
      return 0;
    }
    long expectedMs = suggestedMs > 0 ? suggestedMs : expectedMs(kind);
    long spreadMs = Math.max(1, (long) (expectedMs * (0.5 + random.nextDouble())));
    return leftMs
        .map(each -> Math.max(1, Math.min(spreadMs, each / LEFT_DIVISOR)))
        .orElse(spreadMs);
  }

  private static long expectedMs(ErrorKind kind) {
    return switch (kind) {
      case ISOLATED, NO_TARGET, NO_CLAIM -> KNOWLEDGE_MS;
      case SHUTTING_DOWN, DATA_CENTRE_OUT -> ELSEWHERE_MS;
      default -> ROOM_MS;
    };
  }
}
