package org.waxwingbeam.target.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers and refuses those whose framing is ambiguous. */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int HEAD_LIMIT_BYTES = 65_536;
  private static final int PART_LIMIT_BYTES = 65_536;

  private boolean forHeadRequest;

  ResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(HEAD_LIMIT_BYTES)
            .setMaxHeaderSize(HEAD_LIMIT_BYTES)
            .setMaxChunkSize(PART_LIMIT_BYTES));
  }

  /** Says whether the next answer belongs to a HEAD request and so has no body. */
  void expectResponse(boolean toHeadRequest) {
    forHeadRequest = toHeadRequest;
  }

  /** Returns whether bytes have arrived that no decoded message covers. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return forHeadRequest || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
