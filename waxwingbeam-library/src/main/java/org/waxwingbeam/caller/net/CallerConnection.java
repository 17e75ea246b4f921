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
import org.waxwingbeam.control.RecordedResponse;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.settings.EntrySettings;

/**
 * One connection of a caller. It serves one request at a time; pipelined requests wait for their
 * turn and are answered in order. All methods run on its event loop.
 */
// A failed write or close shows in channelInactive.
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private static final long LINGER_MS = 1_000;
  private static final long DISCARD_LIMIT_BYTES = 65_536;

  private final ExchangeContext context;
  private final Supplier<EntrySettings.CallerLimits> limits;
  private final BooleanSupplier leaving;
  private final ActiveExchanges exchanges;
  private final RequestDecoder decoder;
  private final ResponseEncoder encoder;
  private final Deque<Object> pending = new ArrayDeque<>();

  private Channel channel;
  private Exchange exchange;
  private boolean exchangeReads = true;
  private boolean keepAlive;
  private boolean continueExpected;
  private boolean mayDiscard;
  private boolean closing;
  private boolean processing;
  private long idleSinceNanos;

  CallerConnection(
      ExchangeContext context,
      Supplier<EntrySettings.CallerLimits> limits,
      BooleanSupplier leaving,
      ActiveExchanges exchanges,
      RequestDecoder decoder,
      ResponseEncoder encoder) {
    this.context = context;
    this.limits = limits;
    this.leaving = leaving;
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

  boolean isWritable() {
    // What is written after the caller has left is dropped at once.
    return !channel.isActive() || channel.isWritable();
  }

  /** Takes no further request: closes the connection now, or after the current exchange. */
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
    long idleMs = TimeUnit.NANOSECONDS.toMillis(context.clock().getAsLong() - idleSinceNanos);
    if (exchange == null && !closing) {
      if (decoder.isWithinHead() && idleMs > limits.get().headerTimeoutMs()) {
        refuseAndClose(ErrorKind.REQUEST_TIMEOUT);
      } else if (idleMs > limits.get().keepAliveIdleMs()) {
        channel.close();
      }
    }
    scheduleIdleCheck();
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
    while (!pending.isEmpty() && !closing && canTake(pending.peek())) {
      take(pending.poll());
    }
    processing = false;
    updateReading();
  }

  private boolean canTake(Object message) {
    return exchange == null || (message instanceof HttpContent && !exchange.isRequestWhole());
  }

  private void take(Object message) {
    if (message instanceof HttpRequest head) {
      begin(head);
    } else if (message instanceof HttpContent content) {
      onContent(content);
    } else {
      ReferenceCountUtil.release(message);
    }
  }

  private void onContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      content.release();
      onMalformed();
    } else if (exchange != null) {
      exchange.onBody(content);
    } else {
      content.release();
    }
  }

  private void begin(HttpRequest head) {
    idleSinceNanos = context.clock().getAsLong();
    Optional<ErrorKind> fault = RequestFraming.fault(head);
    if (fault.isPresent()) {
      refuseAndClose(fault.get());
      return;
    }
    context.metrics().onRequest();
    long length = RequestFraming.bodyLength(head);
    continueExpected = RequestFraming.expectsContinue(head.headers());
    mayDiscard = length == 0 || (length > 0 && length <= DISCARD_LIMIT_BYTES && !continueExpected);
    keepAlive = HttpUtil.isKeepAlive(head);
    encoder.expectResponse(head.method().equals(HttpMethod.HEAD));
    serve(head, length);
  }

  private void serve(HttpRequest head, long length) {
    Optional<ErrorKind> closed = context.refusalReason().get();
    Optional<RequestMetadata> mark = context.callerAdapter().readMetadata(head.headers());
    Classification classification =
        context
            .router()
            .classify(head.method().name(), head.headers().get(HttpHeaderNames.HOST), head.uri());
    if (closed.isPresent()) {
      keepAlive = false;
      sendError(closed.get(), 0, mark.flatMap(CallerConnection::deadlineMs));
    } else if (mark.isEmpty()) {
      sendError(ErrorKind.MALFORMED_REQUEST, 0, Optional.empty());
    } else if (classification instanceof Classification.Refused refused) {
      sendError(refused.kind(), 0, mark.flatMap(CallerConnection::deadlineMs));
    } else if (classification instanceof Classification.Accepted accepted) {
      if (length > accepted.policy().value(Parameter.REQUEST_BODY_LIMIT)) {
        sendError(ErrorKind.REQUEST_TOO_LARGE, 0, Optional.empty());
        return;
      }
      exchange = new Exchange(context, this, accepted.policy(), mark.get(), head);
      exchanges.add(exchange);
      exchange.start();
    }
  }

  /** Lets the caller send the body, if it waits to be told so. */
  void continueIfExpected() {
    if (continueExpected) {
      continueExpected = false;
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /** Stops or resumes reading of the request's body. */
  void setRequestReading(boolean reading) {
    exchangeReads = reading;
    updateReading();
  }

  private void updateReading() {
    channel.config().setAutoRead(closing || (exchangeReads && pending.isEmpty()));
  }

  /** Writes the head of a target's answer. */
  void writeHead(HttpResponse head) {
    keepAlive &= exchange.isRequestWhole() || mayDiscard;
    setConnectionHeader(head);
    channel.write(head);
  }

  private void setConnectionHeader(HttpResponse head) {
    keepAlive &= !leaving.getAsBoolean();
    if (!keepAlive) {
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** Writes a part of a target's answer and takes ownership of it. */
  void write(HttpContent content) {
    channel.write(content);
  }

  void flush() {
    channel.flush();
  }

  /** Ends the current exchange after its whole answer has been written. */
  void onResponseComplete() {
    endExchange();
  }

  private static Optional<Long> deadlineMs(RequestMetadata mark) {
    return mark.deadlineMs().isPresent()
        ? Optional.of(mark.deadlineMs().getAsLong())
        : Optional.empty();
  }

  /**
   * Answers the current request with an error.
   *
   * @param suggestedMs when room is expected, or 0 if that is not known
   * @param leftMs the time that the caller will still wait, if it has stated one
   */
  void sendError(ErrorKind kind, long suggestedMs, Optional<Long> leftMs) {
    context.metrics().onRefusal(kind);
    long retryAfterMs = RetryAfterDelay.delayMs(kind, suggestedMs, leftMs, context.random());
    boolean whole = exchange != null && exchange.isRequestWhole();
    keepAlive &= whole || mayDiscard;
    FullHttpResponse answer = context.callerAdapter().error(kind, retryAfterMs);
    setConnectionHeader(answer);
    channel.write(answer);
    endExchange();
  }

  /** Answers the current request with the answer that an earlier run of it got. */
  void sendRecorded(RecordedResponse recorded) {
    FullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(recorded.status()),
            Unpooled.wrappedBuffer(recorded.body().asReadOnlyByteBuffer()));
    if (!recorded.contentType().isEmpty()) {
      answer.headers().set(HttpHeaderNames.CONTENT_TYPE, recorded.contentType());
    }
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, recorded.body().size());
    answer.headers().set(CallerProtocol.REPLAYED_HEADER, "yes");
    setConnectionHeader(answer);
    channel.write(answer);
    endExchange();
  }

  private void endExchange() {
    exchange = null;
    exchangeReads = true;
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

  /** Ends the connection under an answer that cannot be completed. */
  void cut() {
    exchange = null;
    closing = true;
    // A reset tells the caller that the answer is not whole, even if its length was not stated.
    ((SocketChannel) channel).config().setSoLinger(0);
    channel.close();
  }

  private void onMalformed() {
    if (exchange != null) {
      keepAlive = false;
      exchange.abandon(ErrorKind.MALFORMED_REQUEST);
    } else if (!closing) {
      refuseAndClose(ErrorKind.MALFORMED_REQUEST);
    }
  }

  private void refuseAndClose(ErrorKind kind) {
    context.metrics().onRefusal(kind);
    encoder.expectResponse(false);
    FullHttpResponse answer = context.callerAdapter().error(kind, 0);
    keepAlive = false;
    setConnectionHeader(answer);
    channel.write(answer);
    closeAfterFlush();
  }

  /** Closes the connection so that the caller can still read what was written. */
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

  /** Ends the connection, whatever it serves. May be called by any thread. */
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
      onMalformed();
    } else {
      channel.close();
    }
  }
}
