package org.waxwingbeam.tools.testing;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;

/**
 * A complete response as received on a connection.
 *
 * @param status the HTTP status
 * @param message the status line and headers, and the body without chunk framing
 * @since 0.1.0
 */
public record RawResponse(int status, RawRequest message) {
  private static final int STATUS_START = 9;
  private static final int STATUS_END = 12;

  /** Returns the value of a header. */
  public Optional<String> header(String name) {
    return message.header(name);
  }

  /** Returns the body, one character for each byte. */
  public String body() {
    return message.body();
  }

  /** Reads a response; empty if the connection ends before its end. */
  static Optional<RawResponse> read(InputStream in, boolean toHeadRequest) throws IOException {
    Optional<String> head = RawRequest.readHead(in);
    if (head.isEmpty()) {
      return Optional.empty();
    }
    int status = Integer.parseInt(head.get().substring(STATUS_START, STATUS_END));
    Optional<String> body =
        toHeadRequest || status < 200 || status == 204 || status == 304
            ? Optional.of("")
            : RawRequest.readBody(in, head.get());
    return body.map(text -> new RawResponse(status, new RawRequest(head.get(), text)));
  }
}
