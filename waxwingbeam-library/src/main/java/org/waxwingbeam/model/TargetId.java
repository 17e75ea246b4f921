package org.waxwingbeam.model;

/**
 * Identifies a target by the IP address and port on which it receives requests.
 *
 * @param host an IPv4 or IPv6 address
 * @param port 1 to 65,535
 * @since 0.1.0
 */
public record TargetId(String host, int port) implements Comparable<TargetId> {
  private static final int MAX_PORT = 65_535;

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if the host is blank or the port is out of range
   */
  public TargetId {
    if (host.isBlank()) {
      throw new IllegalArgumentException("target address: expected an IP address, found none");
    }
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException(
          "target port %d: expected 1 to %d".formatted(port, MAX_PORT));
    }
  }

  @Override
  public int compareTo(TargetId other) {
    int byHost = host.compareTo(other.host);
    return byHost != 0 ? byHost : Integer.compare(port, other.port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
