package org.waxwingbeam.control.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Enables TCP keep-alive, by which the operating system closes connections to an unresponsive peer.
 *
 * @since 0.1.0
 */
public final class TcpKeepalive {
  /** Idle time after which the peer is probed, and interval between probes. */
  private static final int PROBE_INTERVAL_S = 1;

  /** Number of unacknowledged probes after which a connection is closed. */
  private static final int PROBES = 2;

  private TcpKeepalive() {}

  /** Enables TCP keep-alive on every connection that the bootstrap opens. */
  public static Bootstrap enable(Bootstrap bootstrap) {
    return bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_INTERVAL_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
  }
}
