package org.waxwingbeam.caller.net;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.waxwingbeam.caller.CallerProtocol;
import org.waxwingbeam.model.ErrorKind;

/**
 * Implements the native caller protocol, see {@link CallerProtocol}.
 *
 * @since 0.1.0
 */
public final class NativeCallerAdapter implements CallerAdapter {
  private static final int MAX_DIGITS = 9;
  private static final int ASCII_DELETE = 127;

  /** Creates the adapter. */
  public NativeCallerAdapter() {}

  @Override
  public Optional<RequestMetadata> readMetadata(HttpHeaders headers) {
    String deadline = headers.get(CallerProtocol.DEADLINE_HEADER);
    String attempt = headers.get(CallerProtocol.ATTEMPT_HEADER);
    Optional<String> key = Optional.ofNullable(headers.get(CallerProtocol.IDEMPOTENCY_KEY_HEADER));
    boolean keyWellFormed =
        headers.getAll(CallerProtocol.IDEMPOTENCY_KEY_HEADER).size() <= 1
            && key.map(NativeCallerAdapter::isKey).orElse(true);
    if (!keyWellFormed) {
      return Optional.empty();
    }
    if ((deadline != null && !isNumber(deadline)) || (attempt != null && !isNumber(attempt))) {
      return Optional.empty();
    }
    OptionalLong deadlineMs =
        deadline == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadline));
    return Optional.of(
        new RequestMetadata(
            deadlineMs, attempt == null ? 1 : Integer.parseInt(attempt), key, Optional.empty()));
  }

  private static boolean isKey(String text) {
    return !text.isEmpty()
        && text.length() <= CallerProtocol.IDEMPOTENCY_KEY_LIMIT
        && text.chars().allMatch(c -> c > ' ' && c < ASCII_DELETE);
  }

  private static boolean isNumber(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_DIGITS
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  @Override
  public FullHttpResponse error(ErrorKind kind, long retryAfterMs) {
    return ErrorResponse.of(kind, retryAfterMs);
  }
}
