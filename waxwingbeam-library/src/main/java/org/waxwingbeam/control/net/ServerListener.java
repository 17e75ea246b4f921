package org.waxwingbeam.control.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import org.waxwingbeam.settings.Endpoint;

/**
 * A listening socket and the connections that it has accepted, which are closed with it. A
 * connection that stayed open would accept a request that nobody serves any more.
 *
 * <pre>{@code
 * ServerListener listener = ServerListener.bind(bootstrap, endpoint);
 * listener.close();
 * }</pre>
 *
 * @since 0.1.0
 */
public final class ServerListener implements AutoCloseable {
  private final ChannelGroup accepted;
  private final Channel listener;

  private ServerListener(ChannelGroup accepted, Channel listener) {
    this.accepted = accepted;
    this.listener = listener;
  }

  /**
   * Starts listening.
   *
   * @param bootstrap has a group, a channel type and a handler of accepted connections
   * @param endpoint the address to listen on
   */
  public static ServerListener bind(ServerBootstrap bootstrap, Endpoint endpoint) {
    ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    Channel listener =
        bootstrap
            .handler(new Recorder(accepted))
            .bind(endpoint.socketAddress())
            .syncUninterruptibly()
            .channel();
    return new ServerListener(accepted, listener);
  }

  /** Returns the port on which the socket listens. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Stops listening and closes the accepted connections; must not be called on an event loop. */
  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    accepted.close().syncUninterruptibly();
  }

  /** Records each accepted connection before it is registered with an event loop. */
  private static final class Recorder extends ChannelInboundHandlerAdapter {
    private final ChannelGroup accepted;

    Recorder(ChannelGroup accepted) {
      this.accepted = accepted;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof Channel connection) {
        accepted.add(connection);
      }
      context.fireChannelRead(message);
    }
  }
}
