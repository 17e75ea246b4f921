package org.waxwingbeam.caller.net;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Keeps the parts of a request's body as long as they are few enough to be sent again. */
final class RequestBody implements AutoCloseable {
  /** The longest body that is kept, in bytes. */
  static final int KEPT_LIMIT_BYTES = 65_536;

  private final List<HttpContent> parts = new ArrayList<>(2);
  private long bytes;
  private int firstPart;
  private boolean whole;
  private boolean kept = true;

  /** Adds a part and takes ownership of it. */
  void add(HttpContent part) {
    bytes += part.content().readableBytes();
    whole = part instanceof LastHttpContent;
    parts.add(part);
  }

  /** Returns the number of bytes that have arrived. */
  long bytes() {
    return bytes;
  }

  /** Returns whether the last part has arrived. */
  boolean isWhole() {
    return whole;
  }

  /** Returns whether every part that has arrived can still be sent. */
  boolean isKept() {
    return kept;
  }

  /** Returns whether more bytes have arrived than are kept. */
  boolean exceedsKeptLimit() {
    return bytes > KEPT_LIMIT_BYTES;
  }

  /** Returns the number of parts that have arrived. */
  int size() {
    return firstPart + parts.size();
  }

  /** Returns a part for sending; the caller of this method owns it. */
  HttpContent part(int index) {
    return parts.get(index - firstPart).retainedDuplicate();
  }

  /** Returns the bytes of every part that is kept, without copying them. */
  List<ByteBuffer> buffers() {
    return parts.stream().map(each -> each.content().nioBuffer()).toList();
  }

  /** Releases the parts below an index. After that the body cannot be sent again. */
  void discardBelow(int index) {
    while (firstPart < index) {
      parts.removeFirst().release();
      firstPart++;
      kept = false;
    }
  }

  @Override
  public void close() {
    parts.forEach(HttpContent::release);
    parts.clear();
    kept = false;
  }
}
