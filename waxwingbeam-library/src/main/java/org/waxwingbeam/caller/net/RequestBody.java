package org.waxwingbeam.caller.net;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.waxwingbeam.caller.RequestDigest;

/** Buffers a request body while it is short enough to be sent again. */
final class RequestBody implements AutoCloseable {
  /** Maximum length of a body that is buffered completely, in bytes. */
  static final int BUFFER_LIMIT_BYTES = 65_536;

  private final List<HttpContent> parts = new ArrayList<>(2);
  private long byteCount;
  private int firstBufferedPart;
  private boolean complete;
  private boolean replayable = true;
  private Optional<String> prefixDigest = Optional.empty();

  /** Adds a part and takes ownership of it. */
  void add(HttpContent part) {
    byteCount += part.content().readableBytes();
    complete = part instanceof LastHttpContent;
    parts.add(part);
    if (exceedsBufferLimit() && prefixDigest.isEmpty()) {
      prefixDigest = Optional.of(RequestDigest.ofPrefix(buffers(), BUFFER_LIMIT_BYTES));
    }
  }

  /** Returns the number of bytes that have arrived. */
  long byteCount() {
    return byteCount;
  }

  /** Returns whether the last part has arrived. */
  boolean isComplete() {
    return complete;
  }

  /** Returns whether all parts that have arrived are still buffered. */
  boolean isReplayable() {
    return replayable;
  }

  /** Returns whether more bytes have arrived than can be buffered. */
  boolean exceedsBufferLimit() {
    return byteCount > BUFFER_LIMIT_BYTES;
  }

  /** Returns the digest of the bytes up to the buffer limit, if the body exceeds it. */
  Optional<String> prefixDigest() {
    return prefixDigest;
  }

  /** Returns the number of parts that have arrived. */
  int partCount() {
    return firstBufferedPart + parts.size();
  }

  /** Returns a part for sending; the caller of this method must release it. */
  HttpContent part(int index) {
    return parts.get(index - firstBufferedPart).retainedDuplicate();
  }

  /** Returns the bytes of every buffered part, without copying them. */
  List<ByteBuffer> buffers() {
    return parts.stream().map(each -> each.content().nioBuffer()).toList();
  }

  /** Releases the parts before an index. The body cannot be sent again after that. */
  void discardBefore(int index) {
    while (firstBufferedPart < index) {
      parts.removeFirst().release();
      firstBufferedPart++;
      replayable = false;
    }
  }

  @Override
  public void close() {
    parts.forEach(HttpContent::release);
    parts.clear();
    replayable = false;
  }
}
