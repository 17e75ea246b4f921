package org.waxwingbeam.control.net;

import static com.google.common.truth.Truth.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.waxwingbeam.settings.Endpoint;

@Timeout(30)
class ServerListenerTest {
  private static final int READ_TIMEOUT_MS = 2_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final CountDownLatch accepted = new CountDownLatch(1);

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void acceptedConnectionIsClosedWithTheListener() throws Exception {
    ServerListener listener = listen();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
      accepted.await();
      listener.close();

      assertThat(isEnded(socket)).isTrue();
    }
  }

  private ServerListener listen() {
    return ServerListener.bind(
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpServerCodec());
                    accepted.countDown();
                  }
                }),
        new Endpoint("127.0.0.1", 0));
  }

  private static boolean isEnded(Socket socket) throws IOException {
    socket.setSoTimeout(READ_TIMEOUT_MS);
    return socket.getInputStream().read() < 0;
  }
}
