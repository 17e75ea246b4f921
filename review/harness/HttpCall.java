import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Locale;
import java.util.Optional;

/**
 * The response to an HTTP call on a connection of its own.
 *
 * @param status the status code
 * @param head the head of the response
 * @param body the body
 */
record HttpCall(int status, String head, String body) {
  /**
   * Makes a call.
   *
   * @param timeoutMs time after which each step of the call fails, in milliseconds
   * @throws IOException if there is no complete response
   */
  static HttpCall send(
      String host, int port, String method, String path, String headers, String body, int timeoutMs)
      throws IOException {
    byte[] bytes = body.getBytes(UTF_8);
    String request =
        "%s %s HTTP/1.1\r\nHost: %s:%d\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n"
            .formatted(method, path, host, port, headers, bytes.length);
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), timeoutMs);
      socket.setSoTimeout(timeoutMs);
      socket.getOutputStream().write(request.getBytes(UTF_8));
      socket.getOutputStream().write(bytes);
      return read(socket.getInputStream());
    }
  }

  private static HttpCall read(InputStream input) throws IOException {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    input.transferTo(received);
    String text = received.toString(UTF_8);
    int end = text.indexOf("\r\n\r\n");
    if (end < 0) {
      throw new IOException("connection closed before the end of the head");
    }
    String head = text.substring(0, end);
    String body = text.substring(end + 4);
    int length = header(head, "content-length").map(Integer::parseInt).orElse(0);
    if (body.getBytes(UTF_8).length < length) {
      throw new IOException("connection closed before the end of the body");
    }
    return new HttpCall(Integer.parseInt(head.split(" ")[1]), head, body);
  }

  /** Returns a header of the response. */
  Optional<String> header(String name) {
    return header(head, name);
  }

  private static Optional<String> header(String head, String name) {
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
        .map(line -> line.substring(name.length() + 1).strip())
        .findFirst();
  }
}
