package org.waxwingbeam.control.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.waxwingbeam.control.EntrySessions;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.control.ControlMessage;
import org.waxwingbeam.wire.control.EntryMessage;

/**
 * Accepts connections of entry instances at a control replica, and closes those on which nothing
 * arrives any more.
 *
 * @since 0.1.0
 */
public final class EntryStreamServer implements AutoCloseable {
  /** Number of checks for silent connections in each pulse interval. */
  private static final int CHECKS_PER_PULSE = 2;

  private final ServerListener listener;
  private final LinkLiveness.Timings linkTimings;
  private final Set<Channel> connections = new LinkedHashSet<>();
  private long nextCheckNanos = System.nanoTime();

  /**
   * Starts listening for entry instances.
   *
   * @param group has a single event loop, which runs the sessions as well
   * @param address the address to listen on
   * @param linkTimings when a silent connection is closed
   * @param sessions serves the connections
   */
  public EntryStreamServer(
      EventLoopGroup group,
      Endpoint address,
      LinkLiveness.Timings linkTimings,
      EntrySessions sessions) {
    this.linkTimings = linkTimings;
    listener =
        ServerListener.bind(
            new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new Initializer(sessions)),
            address);
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return listener.port();
  }

  /** Closes the connections on which nothing arrives any more. Called on the event loop. */
  public void tick(long nowNanos) {
    if (nowNanos - nextCheckNanos >= 0) {
      nextCheckNanos = nowNanos + linkTimings.pulseIntervalNanos() / CHECKS_PER_PULSE;
      List.copyOf(connections).forEach(each -> LinkMonitor.tickIfMonitored(each, nowNanos));
    }
  }

  @Override
  public void close() {
    listener.close();
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    private final EntrySessions sessions;

    Initializer(EntrySessions sessions) {
      this.sessions = sessions;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      connections.add(channel);
      channel.closeFuture().addListener(gone -> connections.remove(channel));
      LinkLiveness liveness =
          new LinkLiveness(LinkLiveness.Side.ACCEPTOR, linkTimings, System.nanoTime());
      // Leases are the responses to the heartbeats of entry instances.
      MessageFraming.addTo(
          channel.pipeline(),
          EntryMessage.getDefaultInstance(),
          new LinkMonitor(liveness, due -> {}));
      channel.pipeline().addLast(new SessionHandler(sessions));
    }
  }

  /** Passes one connection's messages to its session. */
  private static final class SessionHandler extends SimpleChannelInboundHandler<EntryMessage> {
    private final EntrySessions sessions;
    private EntrySessions.Session session;

    SessionHandler(EntrySessions sessions) {
      this.sessions = sessions;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      session = sessions.open(new ChannelConnection(context.channel()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, EntryMessage message) {
      session.receive(System.nanoTime(), message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      session.onClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Channels.close(context.channel());
    }
  }

  private record ChannelConnection(Channel channel) implements EntrySessions.Connection {
    @Override
    public void send(ControlMessage message) {
      Channels.send(channel, message);
    }

    @Override
    public void close() {
      Channels.close(channel);
    }
  }
}
