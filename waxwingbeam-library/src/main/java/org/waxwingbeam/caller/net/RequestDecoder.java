package org.waxwingbeam.caller.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Decodes requests and refuses those whose framing is ambiguous. */
final class RequestDecoder extends HttpRequestDecoder {
  private static final int PART_LIMIT_BYTES = 65_536;

  private boolean inHead = true;
  private boolean headBegun;

  RequestDecoder(int headLimitBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(headLimitBytes)
            .setMaxHeaderSize(headLimitBytes)
            .setMaxChunkSize(PART_LIMIT_BYTES));
  }

  /** Returns whether a part of a request's head has arrived, but not all of it. */
  boolean isWithinHead() {
    return headBegun;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    if (inHead && in.isReadable()) {
      headBegun = true;
      refuseFoldedLines(in);
    }
    int before = out.size();
    super.decode(ctx, in, out);
    if (out.size() > before) {
      inHead = out.getLast() instanceof LastHttpContent;
      headBegun = false;
    }
  }

  /** Refuses a line of the head that begins with a space or a tab. */
  private static void refuseFoldedLines(ByteBuf in) {
    int at = in.readerIndex();
    int end = in.writerIndex();
    while (at < end) {
      byte first = in.getByte(at);
      if (first == ' ' || first == '\t') {
        throw new IllegalArgumentException("folded header line");
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
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
