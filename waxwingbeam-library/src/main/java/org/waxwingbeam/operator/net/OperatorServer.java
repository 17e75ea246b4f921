package org.waxwingbeam.operator.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.control.net.ServerListener;
import org.waxwingbeam.settings.Endpoint;

/**
 * Accepts operators' HTTP connections at a control replica.
 *
 * @since 0.1.0
 */
public final class OperatorServer implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final long SILENCE_TIMEOUT_MS = 60_000;

  private final ServerListener listener;

  /**
   * Starts listening for operators.
   *
   * @param group has a single event loop, which runs the operations as well
   * @param address the address to listen on
   * @param token the operators' credential
   * @param operations the operations that requests are passed to
   */
  public OperatorServer(
      EventLoopGroup group, Endpoint address, String token, OperatorOperations operations) {
    listener =
        ServerListener.bind(
            new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new Initializer(token, operations)),
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
    private final String token;
    private final OperatorOperations operations;

    Initializer(String token, OperatorOperations operations) {
      this.token = token;
      this.operations = operations;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(new ReadTimeoutHandler(SILENCE_TIMEOUT_MS, TimeUnit.MILLISECONDS))
          .addLast(new HttpServerCodec())
          .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
          .addLast(new OperatorHandler(token, operations));
    }
  }
}
