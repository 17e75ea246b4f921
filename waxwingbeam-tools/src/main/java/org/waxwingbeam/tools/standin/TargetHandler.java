package org.waxwingbeam.tools.standin;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.waxwingbeam.tools.Futures;

/** Reads requests from one connection and passes each to the target once it is complete. */
final class TargetHandler extends SimpleChannelInboundHandler<HttpObject> {
  private final StandInTarget target;
  private Exchange exchange;

  TargetHandler(StandInTarget target) {
    this.target = target;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    target.onConnectionOpened(context.channel());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    target.onConnectionClosed(context.channel(), exchange);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      Futures.ignore(context.close());
      return;
    }
    if (message instanceof HttpRequest request) {
      exchange = new Exchange(context.channel(), request);
      if (HttpUtil.is100ContinueExpected(request)) {
        Futures.ignore(
            context.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)));
      }
    }
    if (message instanceof HttpContent content) {
      exchange.bodyBytes += content.content().readableBytes();
    }
    if (message instanceof LastHttpContent) {
      target.handleRequest(exchange);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    Futures.ignore(context.close());
  }
}
