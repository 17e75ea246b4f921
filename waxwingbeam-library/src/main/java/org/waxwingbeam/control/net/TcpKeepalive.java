package org.waxwingbeam.control.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Lets the operating system find connections whose other end has fallen silent, and end them.
 *
 * @since 0.1.0
 */
public final class TcpKeepalive {
  /** Time without data after which the other end is probed, and pause between probes. */
  private static final int PROBE_S = 1;

  /** Probes without an answer after which a connection is ended. */
  private static final int PROBES = 2;

  private TcpKeepalive() {}

  /** Watches every connection that is opened. */
  public static Bootstrap enable(Bootstrap bootstrap) {
    return bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
  }

  /** Watches every connection that is accepted. */
  public static ServerBootstrap enable(ServerBootstrap bootstrap) {
    return bootstrap
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_S)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_S)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
  }
}
