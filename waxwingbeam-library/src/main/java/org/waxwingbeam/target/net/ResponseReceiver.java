package org.waxwingbeam.target.net;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request, on the event loop of the connection. Exactly one of {@link
 * #onComplete} and {@link #onFailed} is called at the end, unless the exchange is aborted.
 *
 * @since 0.1.0
 */
public interface ResponseReceiver {
  /** Called once with the head of the final response. */
  void onHead(HttpResponse head);

  /**
   * Called with each part of the response's body, the last of which is a {@code LastHttpContent}.
   *
   * @param content owned by the receiver, which must release it
   */
  void onContent(HttpContent content);

  /** Called after the parts that were read from the connection in one batch. */
  void onReadComplete();

  /** Called once when the complete response has arrived. */
  void onComplete();

  /** Called once when the exchange has failed and the response cannot become complete. */
  void onFailed(ExchangeFailure failure);

  /** Called when the connection has become writable or unwritable for the request's body. */
  void onWritabilityChanged();
}
