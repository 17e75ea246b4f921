package org.waxwingbeam.caller.net;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.waxwingbeam.model.ErrorKind;

/**
 * Adapts a protocol of callers: reads its request headers and builds its error responses. Each
 * caller protocol has one implementation.
 *
 * @since 0.1.0
 */
public interface CallerAdapter {
  /** Reads the protocol's request headers, or returns empty if one of them is malformed. */
  Optional<RequestMetadata> readMetadata(HttpHeaders headers);

  /**
   * Builds the response that reports an error.
   *
   * @param kind the error
   * @param retryAfterMs the delay after which the caller may retry, or 0 if not known
   */
  FullHttpResponse error(ErrorKind kind, long retryAfterMs);
}
