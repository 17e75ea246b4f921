package org.waxwingbeam.caller.net;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** Encodes answers, without a body where the request was a HEAD request. */
final class ResponseEncoder extends HttpResponseEncoder {
  private boolean toHeadRequest;

  /** Says whether the next answer belongs to a HEAD request. */
  void expectResponse(boolean headRequest) {
    toHeadRequest = headRequest;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse head) {
    return super.isContentAlwaysEmpty(head)
        || (toHeadRequest && head.status().codeClass() != HttpStatusClass.INFORMATIONAL);
  }
}
