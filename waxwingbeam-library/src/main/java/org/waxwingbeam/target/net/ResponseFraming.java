package org.waxwingbeam.target.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;

/** Checks that the head of a response determines where its body ends. */
final class ResponseFraming {
  private ResponseFraming() {}

  /**
   * Returns whether the response has a transfer encoding other than {@code chunked}, whose body
   * this instance cannot decode.
   */
  static boolean hasUnknownEncoding(HttpResponse head) {
    List<String> encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return !encodings.isEmpty()
        && (encodings.size() > 1
            || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.getFirst()));
  }

  /**
   * Returns whether the response states its length or is chunked. A response that ends with its
   * connection is not delimited: a truncated one could not be distinguished from a complete one.
   */
  static boolean isDelimited(HttpResponse head, boolean toHeadRequest) {
    return toHeadRequest
        || hasNoBody(head.status())
        || head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
  }

  private static boolean hasNoBody(HttpResponseStatus status) {
    return status.equals(HttpResponseStatus.NO_CONTENT)
        || status.equals(HttpResponseStatus.NOT_MODIFIED);
  }
}
