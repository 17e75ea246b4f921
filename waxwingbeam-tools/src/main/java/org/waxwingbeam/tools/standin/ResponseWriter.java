package org.waxwingbeam.tools.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.target.TargetProtocol;
import org.waxwingbeam.tools.Futures;

/** Writes the responses of stand-in targets. */
final class ResponseWriter {
  private static final int CHUNK_BYTES = 16 * 1024;
  private static final int TRUNCATED_LENGTH_FACTOR = 2;
  private static final double NANOS_PER_SECOND = 1e9;

  private ResponseWriter() {}

  static void respond(StandInTarget target, Exchange exchange) {
    if (exchange.isTransfer()) {
      startTransfer(target, exchange);
      return;
    }
    target.finishRun(exchange, "done");
    write(target, exchange, HttpResponseStatus.OK, exchange.responseText(), "");
  }

  static void fail(StandInTarget target, Exchange exchange) {
    target.finishRun(exchange, "failed");
    write(target, exchange, HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed\n", "");
  }

  static void expire(StandInTarget target, Exchange exchange) {
    target.finishRun(exchange, "expired");
    write(target, exchange, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline passed\n", "");
  }

  static void refuse(StandInTarget target, Exchange exchange, String reason) {
    write(target, exchange, HttpResponseStatus.SERVICE_UNAVAILABLE, reason + "\n", reason);
  }

  /** Declares a content length of twice the bytes that it sends, then closes the connection. */
  static void truncate(StandInTarget target, Exchange exchange) {
    target.finishRun(exchange, "truncated");
    ByteBuf body = Unpooled.copiedBuffer(exchange.responseText(), UTF_8);
    HttpResponse head = head(target, exchange, HttpResponseStatus.OK);
    head.headers()
        .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes() * TRUNCATED_LENGTH_FACTOR);
    Futures.ignore(exchange.channel.write(head));
    exchange
        .channel
        .writeAndFlush(new DefaultHttpContent(body))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private static void write(
      StandInTarget target,
      Exchange exchange,
      HttpResponseStatus status,
      String text,
      String refusal) {
    ByteBuf body = Unpooled.copiedBuffer(text, UTF_8);
    boolean headOnly = exchange.method.equals("HEAD");
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, headOnly ? Unpooled.EMPTY_BUFFER : body);
    response.headers().set(head(target, exchange, status).headers());
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
    if (!refusal.isEmpty()) {
      response.headers().set(TargetProtocol.REFUSED_HEADER, refusal);
    }
    ChannelFuture written = exchange.channel.writeAndFlush(response);
    closeIfDraining(target, written);
  }

  private static void closeIfDraining(StandInTarget target, ChannelFuture written) {
    if (target.isDraining()) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private static HttpResponse head(
      StandInTarget target, Exchange exchange, HttpResponseStatus status) {
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    LoadReport report = target.report();
    head.headers()
        .set(
            TargetProtocol.LOAD_HEADER,
            "in-flight=%d;queued=%d;slots=%d"
                .formatted(report.inFlight(), report.queued(), report.slots()))
        .set(StandInHeaders.DATA_CENTRE, target.spec().dataCentre())
        .set(StandInHeaders.VERSION, target.spec().version())
        .set(StandInHeaders.PORT, target.spec().port());
    if (!exchange.requestId.isEmpty()) {
      head.headers().set(TargetProtocol.REQUEST_ID_HEADER, exchange.requestId);
    }
    if (target.isDraining()) {
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return head;
  }

  private static void startTransfer(StandInTarget target, Exchange exchange) {
    HttpResponse head = head(target, exchange, HttpResponseStatus.OK);
    head.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_OCTET_STREAM);
    if (exchange.chunked) {
      head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, exchange.transferSize);
    }
    Futures.ignore(exchange.channel.write(head));
    sendTransferFrom(target, exchange, 0);
  }

  private static void sendTransferFrom(StandInTarget target, Exchange exchange, long position) {
    if (position == exchange.transferSize) {
      target.finishRun(exchange, "done");
      closeIfDraining(target, exchange.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
      return;
    }
    int length = (int) Math.min(CHUNK_BYTES, exchange.transferSize - position);
    ByteBuf bytes = exchange.channel.alloc().buffer(length);
    TransferBytes.write(bytes, position, length);
    exchange
        .channel
        .writeAndFlush(new DefaultHttpContent(bytes))
        .addListener(
            written -> {
              if (written.isSuccess()) {
                exchange.timer =
                    target
                        .loop()
                        .schedule(
                            () -> sendTransferFrom(target, exchange, position + length),
                            pauseNanos(exchange, length),
                            TimeUnit.NANOSECONDS);
              }
            });
  }

  private static long pauseNanos(Exchange exchange, int length) {
    return exchange.bytesPerSecond == 0
        ? 0
        : (long) (length * NANOS_PER_SECOND / exchange.bytesPerSecond);
  }
}
