package org.waxwingbeam.settings;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * An IP address and port, to listen on or to connect to.
 *
 * @param host an IP address
 * @param port 0 to 65,535; 0 lets the operating system choose a port to listen on
 * @since 0.1.0
 */
public record Endpoint(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /**
   * Checks the port.
   *
   * @throws IllegalArgumentException if the port is out of range
   */
  public Endpoint {
    if (port < 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("port %d: expected 0 to %d".formatted(port, MAX_PORT));
    }
  }

  /** Parses the form that {@link #toString} returns; returns empty if the text is malformed. */
  public static Optional<Endpoint> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
    } catch (IllegalArgumentException malformed) {
      // The caller reports the text.
      return Optional.empty();
    }
  }

  /** Returns the address as a socket address. */
  public InetSocketAddress socketAddress() {
    return new InetSocketAddress(host, port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
