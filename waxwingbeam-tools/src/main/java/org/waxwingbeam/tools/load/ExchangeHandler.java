package org.waxwingbeam.tools.load;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.waxwingbeam.tools.Futures;
import org.waxwingbeam.tools.load.RequestOutcome.Kind;
import org.waxwingbeam.tools.standin.StandInHeaders;

/** Sends requests on one connection, one at a time, and validates their responses. */
final class ExchangeHandler extends SimpleChannelInboundHandler<HttpObject> {
  private static final String ERROR_HEADER = "waxwingbeam-error";
  private static final String RUN_HEADER = "waxwingbeam-run";
  private static final int CONTINUE = 100;
  private static final int FIRST_ERROR_STATUS = 400;

  private final EntryConnections connections;
  private final LoadPlan plan;
  private Channel channel;
  private PlannedRequest request;
  private ResponseValidator validator;
  private HttpResponse head;

  ExchangeHandler(EntryConnections connections, LoadPlan plan) {
    this.connections = connections;
    this.plan = plan;
  }

  Channel channel() {
    return channel;
  }

  void send(PlannedRequest next) {
    request = next;
    validator = new ResponseValidator(next);
    head = null;
    Futures.ignore(channel.writeAndFlush(createMessage(next)));
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (request == null || message.decoderResult().isFailure()) {
      Futures.ignore(context.close());
      return;
    }
    if (message instanceof HttpResponse response && response.status().code() != CONTINUE) {
      head = response;
    }
    if (head != null && message instanceof HttpContent content) {
      validator.addBodyPart(content.content());
      if (message instanceof LastHttpContent) {
        completeRequest();
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (request != null) {
      Kind kind = head == null ? Kind.CONNECTION_LOST : Kind.TRUNCATED;
      connections.onRequestEnded(
          request, head == null ? ResponseSummary.withoutResponse(kind) : summarize(kind));
      request = null;
    }
    connections.onClosed(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    Futures.ignore(context.close());
  }

  private void completeRequest() {
    PlannedRequest completed = request;
    request = null;
    connections.onRequestEnded(completed, summarize(classifyResponse()));
    if (HttpUtil.isKeepAlive(head)) {
      connections.onIdle(this);
    } else {
      Futures.ignore(channel.close());
    }
  }

  private Kind classifyResponse() {
    if (head.headers().contains(ERROR_HEADER)) {
      return Kind.REFUSED;
    }
    if (head.status().code() >= FIRST_ERROR_STATUS) {
      return Kind.FAILED;
    }
    return validator.isCorrect() ? Kind.OK : Kind.WRONG_CONTENT;
  }

  private ResponseSummary summarize(Kind kind) {
    HttpHeaders headers = head.headers();
    return new ResponseSummary(
        kind,
        head.status().code(),
        headers.get(ERROR_HEADER, ""),
        headers.get(RUN_HEADER, ""),
        headers.get(StandInHeaders.DATA_CENTRE, ""),
        headers.get(StandInHeaders.VERSION, ""),
        validator.bytes());
  }

  private FullHttpRequest createMessage(PlannedRequest next) {
    boolean hasBody = next.kind.hasBody();
    ByteBuf body = hasBody ? Unpooled.buffer(plan.bodyBytes()) : Unpooled.EMPTY_BUFFER;
    if (hasBody) {
      body.writeZero(plan.bodyBytes());
    }
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(next.kind.method()), next.kind.path(), body);
    plan.headers().forEach(header -> message.headers().set(header.name(), header.value()));
    message
        .headers()
        .set(HttpHeaderNames.HOST, next.kind.host())
        .set(StandInHeaders.TOKEN, next.token);
    if (hasBody) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, plan.bodyBytes());
    }
    if (!next.key.isEmpty()) {
      message.headers().set(StandInHeaders.IDEMPOTENCY_KEY, next.key);
    }
    return message;
  }
}
