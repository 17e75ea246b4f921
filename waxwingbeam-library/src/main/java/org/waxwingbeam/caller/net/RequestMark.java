package org.waxwingbeam.caller.net;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.waxwingbeam.caller.CallerProtocol;

/**
 * Holds what a caller's own headers say of a request.
 *
 * @param deadlineMs milliseconds until the caller's deadline, if it states one
 * @param attempt 1, or more if the sender has sent the request before
 * @param key the caller's idempotency key, if it states one
 */
record RequestMark(OptionalLong deadlineMs, int attempt, Optional<String> key) {
  private static final int MAX_DIGITS = 9;
  private static final int MAX_ASCII = 127;

  /** Reads the headers, or returns empty if one is not well-formed. */
  static Optional<RequestMark> of(HttpHeaders headers) {
    String deadline = headers.get(CallerProtocol.DEADLINE_HEADER);
    String attempt = headers.get(CallerProtocol.ATTEMPT_HEADER);
    Optional<String> key = Optional.ofNullable(headers.get(CallerProtocol.IDEMPOTENCY_KEY_HEADER));
    boolean keyWellFormed =
        headers.getAll(CallerProtocol.IDEMPOTENCY_KEY_HEADER).size() <= 1
            && key.map(RequestMark::isKey).orElse(true);
    if (!keyWellFormed) {
      return Optional.empty();
    }
    if ((deadline != null && !isNumber(deadline)) || (attempt != null && !isNumber(attempt))) {
      return Optional.empty();
    }
    OptionalLong deadlineMs =
        deadline == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadline));
    return Optional.of(
        new RequestMark(deadlineMs, attempt == null ? 1 : Integer.parseInt(attempt), key));
  }

  private static boolean isKey(String text) {
    return !text.isEmpty()
        && text.length() <= CallerProtocol.IDEMPOTENCY_KEY_LIMIT
        && text.chars().allMatch(c -> c > ' ' && c < MAX_ASCII);
  }

  private static boolean isNumber(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_DIGITS
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  /** Returns whether the sender has sent the request before. */
  boolean isRetry() {
    return attempt > 1;
  }
}
