package org.waxwingbeam.caller.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.Optional;
import org.waxwingbeam.model.ErrorKind;

/** Checks that a request head is well-formed and frames its body unambiguously. */
final class RequestFraming {
  /** Returned as the body length of a request with a chunked body. */
  static final long CHUNKED = -1;

  private RequestFraming() {}

  /** Returns the error with which a request head must be refused, or empty. */
  static Optional<ErrorKind> findError(HttpRequest head) {
    if (head.decoderResult().isFailure()) {
      return Optional.of(errorKindOf(head.decoderResult().cause()));
    }
    HttpHeaders headers = head.headers();
    boolean wellFormed =
        head.protocolVersion().equals(HttpVersion.HTTP_1_1)
            && !head.method().equals(HttpMethod.CONNECT)
            && headers.getAll(HttpHeaderNames.HOST).size() == 1
            && hasKnownEncoding(headers)
            && hasKnownExpectation(headers);
    return wellFormed ? Optional.empty() : Optional.of(ErrorKind.MALFORMED_REQUEST);
  }

  private static ErrorKind errorKindOf(Throwable cause) {
    return cause instanceof TooLongHttpLineException || cause instanceof TooLongHttpHeaderException
        ? ErrorKind.REQUEST_TOO_LARGE
        : ErrorKind.MALFORMED_REQUEST;
  }

  private static boolean hasKnownEncoding(HttpHeaders headers) {
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return encodings.isEmpty()
        || (encodings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.getFirst()));
  }

  private static boolean hasKnownExpectation(HttpHeaders headers) {
    List<String> expectations = headers.getAll(HttpHeaderNames.EXPECT);
    return expectations.isEmpty() || (expectations.size() == 1 && expectsContinue(headers));
  }

  /** Returns whether the caller waits for {@code 100 Continue} before it sends the body. */
  static boolean expectsContinue(HttpHeaders headers) {
    String expectation = headers.get(HttpHeaderNames.EXPECT);
    return expectation != null && HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation);
  }

  /** Returns the length of the body in bytes, or {@link #CHUNKED}. */
  static long bodyLength(HttpRequest head) {
    if (head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      return CHUNKED;
    }
    String length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
    return length == null ? 0 : Long.parseLong(length);
  }
}
