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
 * HTTP server for liveness and readiness checks. {@code GET /live} returns 200; {@code GET /ready}
 * returns 200 while the entry instance accepts new requests, and 503 with the reason while it does
 * not.
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
   * @param group event loops that run the connections
   * @param endpoint address to listen on
   * @param refusal supplies the reason for refusing new requests, or empty if they are accepted
   */
  public ReadinessServer(
      EventLoopGroup group, Endpoint endpoint, Supplier<Optional<ErrorKind>> refusal) {
    this(group, endpoint, DEFAULT_READY_PATH, refusal);
  }

  /**
   * Starts to listen, with a custom path for readiness checks.
   *
   * @param group event loops that run the connections
   * @param endpoint address to listen on
   * @param readyPath the path of readiness checks
   * @param refusal supplies the reason for refusing new requests, or empty if they are accepted
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

  private FullHttpResponse respond(String path) {
    if (path.equals(LIVE_PATH)) {
      return respond(HttpResponseStatus.OK, "live\n");
    }
    if (!path.equals(readyPath)) {
      return respond(
          HttpResponseStatus.NOT_FOUND, "expected %s or %s\n".formatted(LIVE_PATH, readyPath));
    }
    return refusal
        .get()
        .map(kind -> respond(HttpResponseStatus.SERVICE_UNAVAILABLE, kind.code() + "\n"))
        .orElseGet(() -> respond(HttpResponseStatus.OK, "ready\n"));
  }

  private static FullHttpResponse respond(HttpResponseStatus status, String text) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, UTF_8));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return response;
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
      context.writeAndFlush(respond(request.uri())).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }
  }
}
