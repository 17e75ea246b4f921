package org.waxwingbeam.control.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.control.EntrySessions;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.control.ControlMessage;
import org.waxwingbeam.wire.control.EntryMessage;

/**
 * Accepts connections of entry instances at a control replica.
 *
 * @since 0.1.0
 */
public final class EntryStreamServer implements AutoCloseable {
  private static final long SILENCE_TIMEOUT_MS = 10_000;

  private final ServerListener listener;

  /**
   * Starts listening for entry instances.
   *
   * @param group has a single event loop, which runs the sessions as well
   * @param address the address to listen on
   * @param sessions serves the connections
   */
  public EntryStreamServer(EventLoopGroup group, Endpoint address, EntrySessions sessions) {
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

  @Override
  public void close() {
    listener.close();
  }

  private static final class Initializer extends ChannelInitializer<SocketChannel> {
    private final EntrySessions sessions;

    Initializer(EntrySessions sessions) {
      this.sessions = sessions;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      MessageFraming.addTo(channel.pipeline(), EntryMessage.getDefaultInstance());
      channel
          .pipeline()
          .addLast(new ReadTimeoutHandler(SILENCE_TIMEOUT_MS, TimeUnit.MILLISECONDS))
          .addLast(new SessionHandler(sessions));
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
