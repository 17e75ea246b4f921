package org.waxwingbeam.caller.net;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.waxwingbeam.model.ErrorKind;

/**
 * Says how callers mark their requests and how they are told of errors. Each protocol that callers
 * speak has one.
 *
 * @since 0.1.0
 */
public interface CallerAdapter {
  /** Reads a caller's own headers, or returns empty if one of them is not well-formed. */
  Optional<RequestMetadata> readMetadata(HttpHeaders headers);

  /**
   * Builds the answer for an error.
   *
   * @param kind the error
   * @param retryAfterMs when the caller may try again, or 0 if that is not known
   */
  FullHttpResponse error(ErrorKind kind, long retryAfterMs);
}
