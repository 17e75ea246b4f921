package org.waxwingbeam.caller.net;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.waxwingbeam.caller.CallerProtocol;
import org.waxwingbeam.model.ErrorKind;

/** Builds the error responses of the native caller protocol. */
final class ErrorResponse {
  private static final long DEFAULT_RETRY_AFTER_MS = 1_000;
  private static final long MS_PER_SECOND = 1_000;

  private ErrorResponse() {}

  static FullHttpResponse of(ErrorKind kind, long retryAfterMs) {
    byte[] text = "%s: %s\n".formatted(kind.code(), kind.description()).getBytes(UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(kind.status()),
            Unpooled.wrappedBuffer(text));
    HttpHeaders headers = response.headers();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    headers.set(HttpHeaderNames.CONTENT_LENGTH, text.length);
    headers.set(CallerProtocol.ERROR_HEADER, kind.code());
    headers.set(CallerProtocol.RUN_HEADER, kind.run().code());
    headers.set(CallerProtocol.RETRY_HEADER, kind.retryAdvice().code());
    if (kind.retryAdvice() == ErrorKind.Retry.LATER) {
      long delayMs = retryAfterMs > 0 ? retryAfterMs : DEFAULT_RETRY_AFTER_MS;
      headers.set(CallerProtocol.RETRY_AFTER_HEADER, (delayMs + MS_PER_SECOND - 1) / MS_PER_SECOND);
    }
    return response;
  }
}
