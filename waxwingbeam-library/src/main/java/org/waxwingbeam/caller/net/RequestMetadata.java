package org.waxwingbeam.caller.net;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The values of the caller protocol's headers in a request.
 *
 * @param deadlineMs the caller's deadline in milliseconds after the request's arrival, if it has
 *     one
 * @param attempt the number of the caller's attempt, from 1
 * @param key the idempotency key, if the request has one
 * @param requestId the request id chosen by the caller, if it is to be used
 * @since 0.1.0
 */
public record RequestMetadata(
    OptionalLong deadlineMs, int attempt, Optional<String> key, Optional<String> requestId) {
  /** Returns whether the request is a retry by the caller. */
  boolean isRetry() {
    return attempt > 1;
  }
}
