package org.waxwingbeam.caller.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.waxwingbeam.caller.CallerProtocol;
import org.waxwingbeam.caller.Classification;
import org.waxwingbeam.caller.RetryAfterDelay;
import org.waxwingbeam.caller.RoutePolicy;
import org.waxwingbeam.control.RecordedResponse;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.settings.EntrySettings;

/**
 * A connection from a caller. It serves one request at a time; pipelined requests are queued and
 * served in order. All methods run on the connection's event loop.
 */
// Failed writes and closes are handled in channelInactive.
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerConnection extends ChannelInboundHandlerAdapter {
  /** Time after the last response in which the caller can read it before the socket is closed. */
  private static final long LINGER_MS = 1_000;

  /** Maximum length of an unread request body that is discarded to keep the connection open. */
  private static final long DISCARD_LIMIT_BYTES = 65_536;

  /**
   * Parts of pipelined requests that are read while a request is active. Reading goes on so that
   * the end of the connection is noticed.
   */
  private static final int MAX_PENDING_PARTS = 16;

  private final ExchangeContext context;
  private final Supplier<EntrySettings.CallerLimits> limits;
  private final BooleanSupplier closesAfterResponse;
  private final ActiveExchanges exchanges;
  private final RequestDecoder decoder;
  private final ResponseEncoder encoder;
  private final Deque<Object> pending = new ArrayDeque<>();

  private Channel channel;
  private Exchange exchange;
  private boolean exchangeWantsBody = true;
  private boolean keepAlive;
  private boolean continueExpected;
  private boolean bodyDiscardable;
  private boolean closing;
  private boolean processing;
  private long idleSinceNanos;

  CallerConnection(
      ExchangeContext context,
      Supplier<EntrySettings.CallerLimits> limits,
      BooleanSupplier closesAfterResponse,
      ActiveExchanges exchanges,
      RequestDecoder decoder,
      ResponseEncoder encoder) {
    this.context = context;
    this.limits = limits;
    this.closesAfterResponse = closesAfterResponse;
    this.exchanges = exchanges;
    this.decoder = decoder;
    this.encoder = encoder;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    idleSinceNanos = context.clock().getAsLong();
    scheduleIdleCheck();
  }

  EventLoop loop() {
    return channel.eventLoop();
  }

  ActiveExchanges exchanges() {
    return exchanges;
  }

  /** Returns whether the caller's connection is open, as far as is known. */
  boolean isConnected() {
    return channel.isActive();
  }

  boolean isWritable() {
    // Writes to a closed channel are dropped at once and need no back-pressure.
    return !channel.isActive() || channel.isWritable();
  }

  /** Returns whether only a part of a request head has arrived. May be called from any thread. */
  boolean isReceivingHead() {
    return decoder.isWithinHead();
  }

  /** Closes the connection now if it is idle, otherwise after the current exchange. */
  void drain() {
    keepAlive = false;
    if (exchange == null && !closing && !decoder.isWithinHead()) {
      channel.close();
    }
  }

  private void scheduleIdleCheck() {
    long delayMs = Math.max(1, limits.get().headerTimeoutMs() / 4);
    channel.eventLoop().schedule(this::checkIdle, delayMs, TimeUnit.MILLISECONDS);
  }

  private void checkIdle() {
    if (!channel.isActive()) {
      return;
    }
    if (exchange == null && !closing) {
      if (decoder.isWithinHead()) {
        refuseSlowHead();
      } else if (millisSince(idleSinceNanos) > limits.get().keepAliveIdleMs()) {
        channel.close();
      }
    }
    scheduleIdleCheck();
  }

  private void refuseSlowHead() {
    // The head of a pipelined request may have begun while the previous one was being served.
    long headMs = Math.min(millisSince(decoder.headBegunNanos()), millisSince(idleSinceNanos));
    if (headMs > limits.get().headerTimeoutMs()) {
      logRefusal(
          ErrorKind.REQUEST_TIMEOUT,
          Optional.empty(),
          Optional.of("head incomplete after " + headMs + " ms"));
      refuseAndClose(ErrorKind.REQUEST_TIMEOUT);
    }
  }

  private long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(context.clock().getAsLong() - nanos);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    pending.add(message);
    process();
  }

  private void process() {
    if (processing) {
      return;
    }
    processing = true;
    while (!pending.isEmpty() && !closing && canHandle(pending.peek())) {
      handle(pending.poll());
    }
    processing = false;
    updateReading();
  }

  private boolean canHandle(Object message) {
    return exchange == null || (message instanceof HttpContent && !exchange.isRequestComplete());
  }

  private void handle(Object message) {
    if (message instanceof HttpRequest head) {
      onRequestHead(head);
    } else if (message instanceof HttpContent content) {
      onContent(content);
    } else {
      ReferenceCountUtil.release(message);
    }
  }

  private void onContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      content.release();
      onMalformed(content.decoderResult().cause());
    } else if (exchange != null) {
      exchange.onBody(content);
    } else {
      content.release();
    }
  }

  private void onRequestHead(HttpRequest head) {
    idleSinceNanos = context.clock().getAsLong();
    Optional<ErrorKind> error = RequestFraming.findError(head);
    if (error.isPresent()) {
      Optional<String> reason =
          Optional.ofNullable(head.decoderResult().cause()).map(Throwable::toString);
      logRefusal(error.get(), Optional.of(head), reason);
      refuseAndClose(error.get());
      return;
    }
    context.metrics().onRequest();
    long length = RequestFraming.bodyLength(head);
    continueExpected = RequestFraming.expectsContinue(head.headers());
    bodyDiscardable =
        length == 0 || (length > 0 && length <= DISCARD_LIMIT_BYTES && !continueExpected);
    keepAlive = HttpUtil.isKeepAlive(head);
    encoder.expectResponse(head.method().equals(HttpMethod.HEAD));
    serve(head, length);
  }

  private void serve(HttpRequest head, long length) {
    Optional<RequestMetadata> metadata = context.callerAdapter().readMetadata(head.headers());
    Classification classification =
        context
            .router()
            .classify(head.method().name(), head.headers().get(HttpHeaderNames.HOST), head.uri());
    Optional<ErrorKind> refusal = admissionRefusal(classification, metadata);
    if (refusal.isPresent()) {
      keepAlive = false;
      refuse(refusal.get(), head, metadata.flatMap(CallerConnection::deadlineMs));
    } else if (metadata.isEmpty()) {
      refuse(ErrorKind.MALFORMED_REQUEST, head, Optional.empty());
    } else if (classification instanceof Classification.Refused refused) {
      refuse(refused.kind(), head, metadata.flatMap(CallerConnection::deadlineMs));
    } else if (classification instanceof Classification.Accepted accepted) {
      if (length > accepted.policy().value(Parameter.REQUEST_BODY_LIMIT)) {
        refuse(ErrorKind.REQUEST_TOO_LARGE, head, Optional.empty());
        return;
      }
      exchange = new Exchange(context, this, accepted.policy(), metadata.get(), head);
      exchanges.add(exchange);
      exchange.start();
    }
  }

  private Optional<ErrorKind> admissionRefusal(
      Classification classification, Optional<RequestMetadata> metadata) {
    if (!(classification instanceof Classification.Accepted accepted) || metadata.isEmpty()) {
      // Is refused for another reason, unless no request is accepted.
      return context.admission().refusal(0, true);
    }
    RoutePolicy policy = accepted.policy();
    return context
        .admission()
        .refusal(ExchangeTimeouts.headTimeoutNanos(policy, metadata.get()), policy.idempotent());
  }

  /** Refuses a request that has no route or may not be served now. */
  private void refuse(ErrorKind kind, HttpRequest head, Optional<Long> leftMs) {
    logRefusal(kind, Optional.of(head), Optional.empty());
    sendError(kind, 0, leftMs);
  }

  private void logRefusal(ErrorKind kind, Optional<HttpRequest> head, Optional<String> reason) {
    context
        .requestLog()
        .logRefusal(
            context.clock().getAsLong(),
            new RequestLog.Refusal(
                head.flatMap(each -> context.callerAdapter().readMetadata(each.headers()))
                    .flatMap(RequestMetadata::requestId),
                kind,
                head.map(each -> each.method().name()),
                head.map(each -> each.headers().get(HttpHeaderNames.HOST)),
                head.map(HttpRequest::uri),
                reason));
  }

  /** Sends {@code 100 Continue} if the caller expects it and it has not been sent yet. */
  void continueIfExpected() {
    if (continueExpected) {
      continueExpected = false;
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /** Pauses or resumes reading the request body. */
  void setRequestReading(boolean reading) {
    exchangeWantsBody = reading;
    updateReading();
  }

  private void updateReading() {
    boolean hasRoom = pending.size() < MAX_PENDING_PARTS;
    channel.config().setAutoRead(closing || (exchangeWantsBody && hasRoom));
  }

  /** Writes the head of a target's response, with the version in which the caller is answered. */
  void writeHead(HttpResponse head) {
    head.setProtocolVersion(HttpVersion.HTTP_1_1);
    keepAlive &= exchange.isRequestComplete() || bodyDiscardable;
    setConnectionHeader(head);
    channel.write(head);
  }

  private void setConnectionHeader(HttpResponse head) {
    keepAlive &= !closesAfterResponse.getAsBoolean();
    if (!keepAlive) {
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** Writes a part of a target's response body and takes ownership of it. */
  void write(HttpContent content) {
    channel.write(content);
  }

  void flush() {
    channel.flush();
  }

  /** Ends the current exchange after its complete response has been written. */
  void onResponseComplete() {
    endExchange();
  }

  private static Optional<Long> deadlineMs(RequestMetadata metadata) {
    return metadata.deadlineMs().isPresent()
        ? Optional.of(metadata.deadlineMs().getAsLong())
        : Optional.empty();
  }

  /**
   * Sends an error response to the current request.
   *
   * @param suggestedMs the delay until a target is expected to be free, or 0 if not known
   * @param leftMs the time until the caller's deadline, if it has one
   */
  void sendError(ErrorKind kind, long suggestedMs, Optional<Long> leftMs) {
    context.metrics().onRefusal(kind);
    long retryAfterMs = RetryAfterDelay.delayMs(kind, suggestedMs, leftMs, context.random());
    boolean requestComplete = exchange != null && exchange.isRequestComplete();
    keepAlive &= requestComplete || bodyDiscardable;
    FullHttpResponse response = context.callerAdapter().error(kind, retryAfterMs);
    setConnectionHeader(response);
    channel.write(response);
    endExchange();
  }

  /** Sends the response recorded for an earlier request with the same idempotency key. */
  void sendRecorded(RecordedResponse recorded) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(recorded.status()),
            Unpooled.wrappedBuffer(recorded.body().asReadOnlyByteBuffer()));
    if (!recorded.contentType().isEmpty()) {
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, recorded.contentType());
    }
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, recorded.body().size());
    response.headers().set(CallerProtocol.REPLAYED_HEADER, "yes");
    setConnectionHeader(response);
    channel.write(response);
    endExchange();
  }

  private void endExchange() {
    exchange = null;
    exchangeWantsBody = true;
    idleSinceNanos = context.clock().getAsLong();
    channel.flush();
    if (closing) {
      return;
    }
    if (!keepAlive) {
      closeAfterFlush();
    } else {
      process();
    }
  }

  /** Resets the connection because a response that has begun cannot be completed. */
  void reset() {
    exchange = null;
    closing = true;
    // The reset shows the caller that the response is truncated, even if it has no stated length.
    ((SocketChannel) channel).config().setSoLinger(0);
    channel.close();
  }

  private void onMalformed(Throwable cause) {
    if (exchange != null) {
      keepAlive = false;
      exchange.abort(ErrorKind.MALFORMED_REQUEST);
    } else if (!closing) {
      logRefusal(ErrorKind.MALFORMED_REQUEST, Optional.empty(), Optional.of(String.valueOf(cause)));
      refuseAndClose(ErrorKind.MALFORMED_REQUEST);
    }
  }

  private void refuseAndClose(ErrorKind kind) {
    context.metrics().onRefusal(kind);
    encoder.expectResponse(false);
    FullHttpResponse response = context.callerAdapter().error(kind, 0);
    keepAlive = false;
    setConnectionHeader(response);
    channel.write(response);
    closeAfterFlush();
  }

  /** Closes the connection gracefully, so that the caller can still read the last response. */
  private void closeAfterFlush() {
    closing = true;
    releasePending();
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            (ChannelFutureListener)
                future -> {
                  ((SocketChannel) channel).shutdownOutput();
                  channel.config().setAutoRead(true);
                });
    channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  /** Closes the connection even if a request is active. May be called from any thread. */
  void close() {
    channel.close();
  }

  private void releasePending() {
    pending.forEach(ReferenceCountUtil::release);
    pending.clear();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (exchange != null) {
      exchange.onCallerWritabilityChanged(channel.isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    releasePending();
    if (exchange != null) {
      exchange.onCallerGone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof DecoderException) {
      onMalformed(cause);
    } else {
      channel.close();
    }
  }
}
