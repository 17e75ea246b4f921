package org.waxwingbeam.readiness.net;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Supplier;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.settings.Endpoint;

/**
 * Answers {@code GET /live} with 200, and {@code GET /ready} with 200 while the entry instance
 * takes new requests and with 503 and the reason while it does not.
 *
 * @since 0.1.0
 */
public final class ReadinessServer implements AutoCloseable {
  private static final String LIVE_PATH = "/live";
  private static final String DEFAULT_READY_PATH = "/ready";
  private static final int REQUEST_LIMIT_BYTES = 4_096;
  private static final int IDLE_TIMEOUT_S = 60;

  private final String readyPath;
  private final Supplier<Optional<ErrorKind>> refusal;
  private final Channel listener;

  /**
   * Starts to listen.
   *
   * @param group runs the connections
   * @param endpoint where the platform connects
   * @param refusal returns why no new request is taken, or empty
   */
  public ReadinessServer(
      EventLoopGroup group, Endpoint endpoint, Supplier<Optional<ErrorKind>> refusal) {
    this(group, endpoint, DEFAULT_READY_PATH, refusal);
  }

  /**
   * Starts to listen, and answers for readiness on a path of its own.
   *
   * @param group runs the connections
   * @param endpoint where the platform connects
   * @param readyPath the path that is asked for readiness
   * @param refusal returns why no new request is taken, or empty
   */
  public ReadinessServer(
      EventLoopGroup group,
      Endpoint endpoint,
      String readyPath,
      Supplier<Optional<ErrorKind>> refusal) {
    this.readyPath = readyPath;
    this.refusal = refusal;
    this.listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(new Pipeline())
            .bind(endpoint.socketAddress())
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  private FullHttpResponse response(String path) {
    if (path.equals(LIVE_PATH)) {
      return response(HttpResponseStatus.OK, "live\n");
    }
    if (!path.equals(readyPath)) {
      return response(
          HttpResponseStatus.NOT_FOUND, "expected %s or %s\n".formatted(LIVE_PATH, readyPath));
    }
    return refusal
        .get()
        .map(kind -> response(HttpResponseStatus.SERVICE_UNAVAILABLE, kind.code() + "\n"))
        .orElseGet(() -> response(HttpResponseStatus.OK, "ready\n"));
  }

  private static FullHttpResponse response(HttpResponseStatus status, String text) {
    FullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, UTF_8));
    answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return answer;
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
  }

  private final class Pipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      channel
          .pipeline()
          .addLast(
              new ReadTimeoutHandler(IDLE_TIMEOUT_S),
              new HttpServerCodec(),
              new HttpObjectAggregator(REQUEST_LIMIT_BYTES),
              new Handler());
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      context.writeAndFlush(response(request.uri())).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }
  }
}
