package org.waxwingbeam.caller.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A response that is buffered, of which nothing has been sent to the caller yet. */
final class BufferedResponse implements AutoCloseable {
  private final HttpResponse head;
  private final boolean failed;
  private final List<HttpContent> parts = new ArrayList<>(2);
  private long byteCount;

  /**
   * Creates a buffer with the head of a response.
   *
   * @param head the head
   * @param failed whether the target ran the request and reports a failure
   */
  BufferedResponse(HttpResponse head, boolean failed) {
    this.head = head;
    this.failed = failed;
  }

  HttpResponse head() {
    return head;
  }

  boolean isFailed() {
    return failed;
  }

  long byteCount() {
    return byteCount;
  }

  /** Adds a part and takes ownership of it. */
  void add(HttpContent part) {
    ByteBuf content = part.content();
    byteCount += content.readableBytes();
    parts.add(part);
  }

  /**
   * Adds framing to a response without any: a content length if it is buffered completely,
   * otherwise chunked transfer encoding. A response that has no body by definition gets none,
   * because its length would state that of another body.
   */
  void setFraming(boolean complete, boolean toHeadRequest) {
    boolean hasNoBody = toHeadRequest || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
    if (hasNoBody
        || HttpUtil.isContentLengthSet(head)
        || HttpUtil.isTransferEncodingChunked(head)) {
      return;
    }
    if (complete) {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, byteCount);
    } else {
      HttpUtil.setTransferEncodingChunked(head, true);
    }
  }

  /** Passes every part to the receiver, which takes ownership. */
  void drainTo(Consumer<HttpContent> receiver) {
    List<HttpContent> drained = List.copyOf(parts);
    parts.clear();
    drained.forEach(receiver);
  }

  @Override
  public void close() {
    parts.forEach(HttpContent::release);
    parts.clear();
  }
}
