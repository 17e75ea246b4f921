package org.waxwingbeam.target.net;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the answer to one request, on the event loop of the connection. Exactly one of {@link
 * #onComplete} and {@link #onFailed} ends it, unless the exchange is aborted.
 *
 * @since 0.1.0
 */
public interface ResponseReceiver {
  /** Called once with the head of the final answer. */
  void onHead(HttpResponse head);

  /**
   * Called with each part of the answer's body, the last of which is a {@code LastHttpContent}.
   *
   * @param content owned by the receiver, which must release it
   */
  void onContent(HttpContent content);

  /** Called after the parts that were read together. */
  void onReadComplete();

  /** Called once when the whole answer has arrived. */
  void onComplete();

  /** Called once when no whole answer can arrive any more. */
  void onFailed(ExchangeFailure failure);

  /** Called when the connection can take more of the request's body, or can take no more. */
  void onWritabilityChanged();
}
