package org.waxwingbeam.tools.testing;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Optional;
import org.waxwingbeam.settings.Endpoint;

/**
 * A caller that sends bytes unchanged and parses responses strictly.
 *
 * <pre>{@code
 * try (RawCaller caller = new RawCaller(endpoint)) {
 *   caller.send("GET / HTTP/1.1\r\nhost: a.example\r\n\r\n");
 *   RawResponse response = caller.readResponse(false).orElseThrow();
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class RawCaller implements AutoCloseable {
  private static final int READ_TIMEOUT_MS = 20_000;

  private final Socket socket;
  private final InputStream in;

  /** Connects to an entry instance. */
  public RawCaller(Endpoint endpoint) throws IOException {
    socket = new Socket(endpoint.host(), endpoint.port());
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends text, one byte for each character. */
  public void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /**
   * Reads the next response.
   *
   * @param toHeadRequest whether the request was a HEAD request
   * @return the response, or empty if the connection ended before it was complete
   */
  public Optional<RawResponse> readResponse(boolean toHeadRequest) throws IOException {
    try {
      return RawResponse.read(in, toHeadRequest);
    } catch (java.net.SocketException reset) {
      return Optional.empty();
    }
  }

  /** Waits for the next byte or the end of the connection, and returns whether it was the end. */
  public boolean isClosedByPeer() throws IOException {
    try {
      return in.read() < 0;
    } catch (java.net.SocketException reset) {
      return true;
    }
  }

  /** Returns the socket of the connection. */
  public Socket socket() {
    return socket;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
