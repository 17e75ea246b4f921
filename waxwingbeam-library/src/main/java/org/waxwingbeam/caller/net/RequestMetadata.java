package org.waxwingbeam.caller.net;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds what a caller's own headers say of a request.
 *
 * @param deadlineMs milliseconds until the caller's deadline, if it states one
 * @param attempt 1, or more if the sender has sent the request before
 * @param key the caller's idempotency key, if it states one
 * @param requestId the caller's own id for the request, if it is to be kept
 * @since 0.1.0
 */
public record RequestMetadata(
    OptionalLong deadlineMs, int attempt, Optional<String> key, Optional<String> requestId) {
  /** Returns whether the sender has sent the request before. */
  boolean isRetry() {
    return attempt > 1;
  }
}
