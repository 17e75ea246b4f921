package org.waxwingbeam.caller.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Keeps the parts of an answer of which nothing has gone to the caller yet. */
final class BufferedResponse implements AutoCloseable {
  private final HttpResponse head;
  private final boolean failed;
  private final List<HttpContent> parts = new ArrayList<>(2);
  private long bytes;

  /**
   * Begins to keep an answer.
   *
   * @param head the head
   * @param failed whether the request ran and failed
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

  long bytes() {
    return bytes;
  }

  /** Adds a part and takes ownership of it. */
  void add(HttpContent part) {
    ByteBuf content = part.content();
    bytes += content.readableBytes();
    parts.add(part);
  }

  /**
   * States the length of an answer that has none; the whole of it is here or it is to be chunked.
   */
  void delimit(boolean whole) {
    if (HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head)) {
      return;
    }
    if (whole) {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes);
    } else {
      HttpUtil.setTransferEncodingChunked(head, true);
    }
  }

  /** Hands every part to the receiver, which owns it. */
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
