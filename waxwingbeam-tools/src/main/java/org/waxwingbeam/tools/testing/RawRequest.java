package org.waxwingbeam.tools.testing;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;

/**
 * A request as received on a connection.
 *
 * @param head the request line and headers, each ended by CR and LF
 * @param body the body without chunk framing, one character for each byte
 * @since 0.1.0
 */
public record RawRequest(String head, String body) {
  /** Returns the value of a header; the name is matched case-insensitively. */
  public Optional<String> header(String name) {
    return head.lines()
        .skip(1)
        .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
        .map(line -> line.substring(name.length() + 1).strip())
        .findFirst();
  }

  /** Returns the request line. */
  public String requestLine() {
    return head.lines().findFirst().orElse("");
  }

  /** Reads a complete request; empty if the connection ends before its end. */
  static Optional<RawRequest> read(InputStream in) throws IOException {
    Optional<String> head = readHead(in);
    if (head.isEmpty()) {
      return Optional.empty();
    }
    return readBody(in, head.get()).map(body -> new RawRequest(head.get(), body));
  }

  /** Reads the body that follows a head; empty if the connection ends before its end. */
  static Optional<String> readBody(InputStream in, String head) throws IOException {
    RawRequest message = new RawRequest(head, "");
    return message.header("transfer-encoding").isPresent()
        ? readChunks(in)
        : readBytes(in, Integer.parseInt(message.header("content-length").orElse("0")));
  }

  static Optional<String> readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    Optional<String> line = readLine(in);
    while (line.isPresent() && !line.get().isEmpty()) {
      head.append(line.get()).append("\r\n");
      line = readLine(in);
    }
    return line.map(end -> head.toString());
  }

  private static Optional<String> readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int c = in.read();
    while (c >= 0 && c != '\n') {
      line.write(c);
      c = in.read();
    }
    return c < 0 ? Optional.empty() : Optional.of(line.toString(ISO_8859_1).stripTrailing());
  }

  private static Optional<String> readBytes(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    return bytes.length == length ? Optional.of(new String(bytes, ISO_8859_1)) : Optional.empty();
  }

  private static Optional<String> readChunks(InputStream in) throws IOException {
    StringBuilder body = new StringBuilder();
    Optional<String> size = readLine(in);
    while (size.isPresent()) {
      int length = Integer.parseInt(size.get(), 16);
      Optional<String> chunk = readBytes(in, length);
      if (chunk.isEmpty() || readLine(in).isEmpty()) {
        return Optional.empty();
      }
      if (length == 0) {
        return Optional.of(body.toString());
      }
      body.append(chunk.get());
      size = readLine(in);
    }
    return Optional.empty();
  }
}
