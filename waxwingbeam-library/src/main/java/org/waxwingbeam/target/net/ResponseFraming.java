package org.waxwingbeam.target.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;

/** Checks that the end of an answer can be told from its head. */
final class ResponseFraming {
  private ResponseFraming() {}

  /**
   * Returns whether the answer states its length or is chunked. An answer that ends with its
   * connection is not accepted, because a truncated one could not be told from a whole one.
   */
  static boolean isDelimited(HttpResponse head, boolean toHeadRequest) {
    List<String> encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (!encodings.isEmpty()) {
      return encodings.size() == 1
          && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.getFirst());
    }
    return toHeadRequest
        || hasNoBody(head.status())
        || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
  }

  private static boolean hasNoBody(HttpResponseStatus status) {
    return status.equals(HttpResponseStatus.NO_CONTENT)
        || status.equals(HttpResponseStatus.NOT_MODIFIED);
  }
}
