package org.waxwingbeam.caller.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.function.LongSupplier;

/** Decodes requests and rejects those with ambiguous framing. */
final class RequestDecoder extends HttpRequestDecoder {
  private static final int PART_LIMIT_BYTES = 65_536;

  private final LongSupplier clock;
  private boolean inHead = true;
  // Written on the event loop, and read by the thread that waits for the end of a shutdown.
  private volatile boolean headBegun;
  private long headBegunNanos;

  /**
   * Creates a decoder.
   *
   * @param headLimitBytes maximum length of a request's head
   * @param clock the entry instance's monotonic clock, in nanoseconds
   */
  RequestDecoder(int headLimitBytes, LongSupplier clock) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(headLimitBytes)
            .setMaxHeaderSize(headLimitBytes)
            .setMaxChunkSize(PART_LIMIT_BYTES));
    this.clock = clock;
  }

  /** Returns whether only a part of a request head has arrived. */
  boolean isWithinHead() {
    return headBegun;
  }

  /** Returns when the first byte of the latest request head arrived. */
  long headBegunNanos() {
    return headBegunNanos;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    if (inHead && in.isReadable()) {
      if (!headBegun) {
        headBegun = true;
        headBegunNanos = clock.getAsLong();
      }
      refuseFoldedLines(in);
    }
    int before = out.size();
    super.decode(ctx, in, out);
    if (out.size() > before) {
      inHead = out.getLast() instanceof LastHttpContent;
      headBegun = false;
    }
  }

  /** Rejects obsolete line folding: header lines that begin with a space or a tab. */
  private static void refuseFoldedLines(ByteBuf in) {
    int at = in.readerIndex();
    int end = in.writerIndex();
    while (at < end) {
      byte first = in.getByte(at);
      if (first == ' ' || first == '\t') {
        throw new IllegalArgumentException(
            "header line begins with a space or a tab: expected no line folding");
      }
      int newline = in.indexOf(at, end, (byte) '\n');
      boolean blank = newline == at || (newline == at + 1 && first == '\r');
      if (newline < 0 || blank) {
        return;
      }
      at = newline + 1;
    }
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "request has Content-Length and Transfer-Encoding: expected one of them");
  }
}
