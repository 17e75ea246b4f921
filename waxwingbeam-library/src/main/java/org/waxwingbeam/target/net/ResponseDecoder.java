package org.waxwingbeam.target.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Pattern;

/**
 * Decodes responses and rejects those with ambiguous framing, those with too many bytes that are
 * not body, and bytes that belong to no response.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int HEAD_LIMIT_BYTES = 65_536;
  private static final int PART_LIMIT_BYTES = 65_536;

  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.\\d");
  private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");
  private static final Pattern REASON = Pattern.compile("[^\\x00-\\x08\\x0a-\\x1f\\x7f]*");

  /**
   * Maximum number of bytes of a response that are not body: interim responses, the head, chunk
   * framing, the trailer, and blank lines and control characters before them.
   */
  private static final long OVERHEAD_LIMIT_BYTES = 262_144;

  /** Further bytes allowed for each byte of body. A chunk of one byte needs five. */
  private static final long OVERHEAD_BYTES_PER_BODY_BYTE = 16;

  private boolean expecting;
  private boolean forHeadRequest;
  private long receivedBytes;
  private long bodyBytes;

  ResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(HEAD_LIMIT_BYTES)
            .setMaxHeaderSize(HEAD_LIMIT_BYTES)
            .setHeadersFactory(new SingleLengthHeadersFactory())
            .setMaxChunkSize(PART_LIMIT_BYTES));
  }

  /** Sets whether the next response belongs to a HEAD request and therefore has no body. */
  void expectResponse(boolean toHeadRequest) {
    expecting = true;
    forHeadRequest = toHeadRequest;
    receivedBytes = 0;
    bodyBytes = 0;
  }

  /** Ends the current response; bytes are an error until the next one is expected. */
  void endResponse() {
    expecting = false;
  }

  /** Counts a part of the current response's body. */
  void countBody(HttpContent content) {
    bodyBytes += content.content().readableBytes();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (!expecting) {
      ReferenceCountUtil.release(message);
      ctx.fireExceptionCaught(new DecoderException("bytes outside an exchange"));
      return;
    }
    if (message instanceof ByteBuf bytes) {
      receivedBytes += bytes.readableBytes();
    }
    super.channelRead(ctx, message);
    long overheadLimit = OVERHEAD_LIMIT_BYTES + OVERHEAD_BYTES_PER_BODY_BYTE * bodyBytes;
    if (receivedBytes - bodyBytes > overheadLimit) {
      ctx.fireExceptionCaught(
          new TooLongFrameException(
              "%d bytes received, of which only %d are body".formatted(receivedBytes, bodyBytes)));
    }
  }

  /** Returns whether bytes have been received that are not part of a decoded message. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    if (!VERSION.matcher(initialLine[0]).matches()
        || !STATUS.matcher(initialLine[1]).matches()
        || !REASON.matcher(initialLine[2]).matches()) {
      throw new IllegalArgumentException(
          "status line is '%s': expected HTTP/1.x, a status from 100 to 599 and printable text"
              .formatted(String.join(" ", initialLine)));
    }
    return super.createMessage(initialLine);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return forHeadRequest || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "response has both Content-Length and Transfer-Encoding; expected at most one");
  }

  private static final class SingleLengthHeadersFactory implements HttpHeadersFactory {
    @Override
    public HttpHeaders newHeaders() {
      return new SingleLengthHeaders();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return new SingleLengthHeaders();
    }
  }

  /** Headers that reject a second length, which the base decoder ignores in HTTP/1.0 responses. */
  private static final class SingleLengthHeaders extends DefaultHttpHeaders {
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name) && contains(name)) {
        throw new IllegalArgumentException("response has a second Content-Length: " + value);
      }
      return super.add(name, value);
    }
  }
}
