package org.waxwingbeam.tools.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.target.TargetProtocol;
import org.waxwingbeam.tools.Futures;
import org.waxwingbeam.wire.target.Announcement;

/**
 * Periodically announces one target to an entry instance, and changes to the next entry instance
 * when an announcement fails. Runs on the target's event loop.
 */
final class Announcer {
  private static final int ANNOUNCEMENTS_PER_TIME_TO_LIVE = 3;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int RESPONSE_TIMEOUT_MS = 1_000;
  private static final int MAX_RESPONSE_BYTES = 64 * 1024;

  private final StandInTarget target;
  private final List<Endpoint> entries;
  private final int timeToLiveMs;
  private int entryIndex;
  private boolean retried;
  private Future<?> announceTimer;

  Announcer(StandInTarget target, List<Endpoint> entries, int firstEntry, int timeToLiveMs) {
    this.target = target;
    this.entries = entries;
    this.entryIndex = firstEntry % entries.size();
    this.timeToLiveMs = timeToLiveMs;
  }

  void start() {
    long periodMs = timeToLiveMs / ANNOUNCEMENTS_PER_TIME_TO_LIVE;
    announceTimer =
        target.loop().scheduleAtFixedRate(this::announce, 0, periodMs, TimeUnit.MILLISECONDS);
  }

  void stop() {
    announceTimer.cancel(false);
  }

  void scheduleAnnouncement() {
    target.loop().execute(this::announce);
  }

  /** Announces the target now, unless it has crashed. */
  void announce() {
    if (target.isListening()) {
      retried = false;
      sendAnnouncement();
    }
  }

  private void sendAnnouncement() {
    ChannelFuture connected = bootstrap().connect(entries.get(entryIndex).socketAddress());
    connected.addListener(
        done -> {
          if (done.isSuccess()) {
            Futures.ignore(connected.channel().writeAndFlush(request()));
          } else {
            onFailure();
          }
        });
  }

  private void onFailure() {
    entryIndex = (entryIndex + 1) % entries.size();
    if (!retried) {
      retried = true;
      sendAnnouncement();
    }
  }

  private FullHttpRequest request() throws InvalidProtocolBufferException {
    Announcement announcement = target.announcement(timeToLiveMs);
    String json = JsonFormat.printer().omittingInsignificantWhitespace().print(announcement);
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            TargetProtocol.ANNOUNCEMENT_PATH,
            Unpooled.copiedBuffer(json, UTF_8));
    request
        .headers()
        .set(HttpHeaderNames.HOST, entries.get(entryIndex).toString())
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes())
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return request;
  }

  private Bootstrap bootstrap() {
    return new Bootstrap()
        .group(target.loop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
                    .addLast(new ReadTimeoutHandler(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS))
                    .addLast(new ResponseHandler());
              }
            });
  }

  /** Changes to the next entry instance unless the announcement was accepted. */
  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private boolean accepted;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      accepted = response.status().codeClass() == HttpStatusClass.SUCCESS;
      Futures.ignore(context.close());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (!accepted) {
        onFailure();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Channel channel = context.channel();
      Futures.ignore(channel.close());
    }
  }
}
