package org.waxwingbeam.caller.net;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** Encodes responses; responses to HEAD requests have no body. */
final class ResponseEncoder extends HttpResponseEncoder {
  private boolean toHeadRequest;

  /** Sets whether the next response belongs to a HEAD request. */
  void expectResponse(boolean headRequest) {
    toHeadRequest = headRequest;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse head) {
    return super.isContentAlwaysEmpty(head)
        || (toHeadRequest && head.status().codeClass() != HttpStatusClass.INFORMATIONAL);
  }
}
