package org.waxwingbeam.target.net;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.ReadTimeoutException;
import org.jboss.logging.Logger;
import org.waxwingbeam.target.AnnouncementReader;
import org.waxwingbeam.target.TargetAnnouncement;
import org.waxwingbeam.target.TargetProtocol;
import org.waxwingbeam.target.TargetRegistry.AnnounceResult;
import org.waxwingbeam.wire.target.AnnouncementAccepted;
import org.waxwingbeam.wire.target.AnnouncementRefused;

/** Handles the announcements that arrive on one connection. */
final class AnnouncementHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  /** Number of times that a target is to announce itself within its time to live. */
  private static final int REPEATS_PER_TIME_TO_LIVE = 3;

  private static final Logger LOG = Logger.getLogger(AnnouncementHandler.class);

  private final AnnouncementReceiver receiver;

  AnnouncementHandler(AnnouncementReceiver receiver) {
    this.receiver = receiver;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    FullHttpResponse response = respond(request);
    boolean keepAlive = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
    HttpUtil.setContentLength(response, response.content().readableBytes());
    HttpUtil.setKeepAlive(response, keepAlive);
    ChannelFuture written = context.writeAndFlush(response);
    if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof ReadTimeoutException)) {
      LOG.debugf(
          "event=announcement-connection-failed peer=%s cause=\"%s\"",
          context.channel().remoteAddress(), cause);
    }
    context.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  private FullHttpResponse respond(FullHttpRequest request) {
    if (!request.decoderResult().isSuccess()) {
      return refuse(HttpResponseStatus.BAD_REQUEST, "", "", "a request of HTTP/1.1");
    }
    String path = new QueryStringDecoder(request.uri()).path();
    if (!path.equals(TargetProtocol.ANNOUNCEMENT_PATH)) {
      return refuse(HttpResponseStatus.NOT_FOUND, "path", path, TargetProtocol.ANNOUNCEMENT_PATH);
    }
    if (!request.method().equals(HttpMethod.POST)) {
      return refuse(
          HttpResponseStatus.METHOD_NOT_ALLOWED, "method", request.method().name(), "POST");
    }
    return switch (AnnouncementReader.read(request.content().toString(UTF_8))) {
      case AnnouncementReader.Valid valid -> register(valid.announcement());
      case AnnouncementReader.Invalid invalid ->
          refuse(
              HttpResponseStatus.BAD_REQUEST, invalid.field(), invalid.found(), invalid.expected());
    };
  }

  private FullHttpResponse register(TargetAnnouncement announcement) {
    return switch (receiver.announce(announcement)) {
      case AnnounceResult.Changed changed -> accept(announcement);
      case AnnounceResult.Renewed renewed -> accept(announcement);
      case AnnounceResult.Outdated outdated ->
          refuse(
              HttpResponseStatus.CONFLICT,
              "bootId",
              Long.toString(announcement.bootId()),
              "at least %d, which is known already".formatted(outdated.knownBootId()));
    };
  }

  private static FullHttpResponse accept(TargetAnnouncement announcement) {
    long repeatAfterMs = announcement.timeToLiveMs() / REPEATS_PER_TIME_TO_LIVE;
    return jsonResponse(
        HttpResponseStatus.OK,
        AnnouncementAccepted.newBuilder().setRepeatAfterMs((int) repeatAfterMs));
  }

  private static FullHttpResponse refuse(
      HttpResponseStatus status, String field, String found, String expected) {
    LOG.infof(
        "event=announcement-refused status=%d field=%s found=\"%s\" expected=\"%s\"",
        status.code(), field, found, expected);
    return jsonResponse(
        status,
        AnnouncementRefused.newBuilder().setField(field).setFound(found).setExpected(expected));
  }

  private static FullHttpResponse jsonResponse(
      HttpResponseStatus status, MessageOrBuilder message) {
    ByteBuf body = Unpooled.copiedBuffer(toJson(message) + "\n", UTF_8);
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    return response;
  }

  private static String toJson(MessageOrBuilder message) {
    try {
      return JsonFormat.printer().omittingInsignificantWhitespace().print(message);
    } catch (InvalidProtocolBufferException impossible) {
      throw new IllegalStateException(impossible);
    }
  }
}
