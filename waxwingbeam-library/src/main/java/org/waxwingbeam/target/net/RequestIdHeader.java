package org.waxwingbeam.target.net;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;

/**
 * Reads the request id that a response echoes.
 *
 * @since 0.1.0
 */
public final class RequestIdHeader {
  private RequestIdHeader() {}

  /**
   * Returns the value of a header. Differing values are combined to a list, as in HTTP, so that a
   * response that names several requests is not taken for the response to one of them.
   *
   * @param headers the headers of a response
   * @param name the name of the header
   */
  public static Optional<String> combinedValue(HttpHeaders headers, CharSequence name) {
    List<String> values = headers.getAll(name);
    return values.isEmpty()
        ? Optional.empty()
        : Optional.of(String.join(", ", values.stream().distinct().toList()));
  }
}
