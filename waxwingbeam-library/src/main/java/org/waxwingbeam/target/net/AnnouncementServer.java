package org.waxwingbeam.target.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.settings.Endpoint;

/**
 * HTTP server that receives the announcements of targets.
 *
 * <pre>{@code
 * try (AnnouncementServer server = AnnouncementServer.start(group, listen, receiver)) {
 *   InetSocketAddress bound = server.address();
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class AnnouncementServer implements AutoCloseable {
  private static final int MAX_ANNOUNCEMENT_BYTES = 16 * 1024;
  private static final int IDLE_TIMEOUT_SECONDS = 60;

  private final Channel channel;

  private AnnouncementServer(Channel channel) {
    this.channel = channel;
  }

  /**
   * Starts listening.
   *
   * @param group event loops that run the connections
   * @param listen address to listen on; port 0 selects a free port
   * @param receiver called with every well-formed announcement
   * @throws InterruptedException if the thread is interrupted before the port is bound
   */
  public static AnnouncementServer start(
      EventLoopGroup group, Endpoint listen, AnnouncementReceiver receiver)
      throws InterruptedException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(new ConnectionInitializer(receiver));
    return new AnnouncementServer(bootstrap.bind(listen.socketAddress()).sync().channel());
  }

  /** Returns the address that was bound. */
  public InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /** Stops listening. Open connections are closed when their event loops shut down. */
  @Override
  public void close() {
    channel.close().syncUninterruptibly();
  }

  /** Sets up the pipeline of each connection. */
  private static final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    private final AnnouncementReceiver receiver;

    ConnectionInitializer(AnnouncementReceiver receiver) {
      this.receiver = receiver;
    }

    @Override
    protected void initChannel(SocketChannel connection) {
      connection
          .pipeline()
          .addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
          .addLast(new HttpServerCodec())
          .addLast(new HttpObjectAggregator(MAX_ANNOUNCEMENT_BYTES, true))
          .addLast(new AnnouncementHandler(receiver));
    }
  }
}
