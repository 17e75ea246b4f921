package org.waxwingbeam.target.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.regex.Pattern;

/** Decodes responses and rejects those with ambiguous framing. */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int HEAD_LIMIT_BYTES = 65_536;
  private static final int PART_LIMIT_BYTES = 65_536;

  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.\\d");
  private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");
  private static final Pattern REASON = Pattern.compile("[^\\x00-\\x08\\x0a-\\x1f\\x7f]*");

  private boolean forHeadRequest;

  ResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(HEAD_LIMIT_BYTES)
            .setMaxHeaderSize(HEAD_LIMIT_BYTES)
            .setMaxChunkSize(PART_LIMIT_BYTES));
  }

  /** Sets whether the next response belongs to a HEAD request and therefore has no body. */
  void expectResponse(boolean toHeadRequest) {
    forHeadRequest = toHeadRequest;
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
}
