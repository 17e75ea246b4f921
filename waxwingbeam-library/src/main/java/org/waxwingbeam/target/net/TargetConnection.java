package org.waxwingbeam.target.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.SequencedSet;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.model.TargetId;

/**
 * Connection to a target. It carries one exchange at a time, and is reused only if the exchange was
 * complete and its response was delimited. All methods must be called on its event loop.
 *
 * <pre>{@code
 * connection.startExchange(head, requestId, receiver);
 * connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
 * connection.flush();
 * }</pre>
 *
 * @since 0.1.0
 */
// A failed write or close is handled in channelInactive.
@SuppressWarnings("FutureReturnValueIgnored")
public final class TargetConnection extends ChannelInboundHandlerAdapter {
  /** Maximum idle time of a connection whose target has not stated a limit. */
  private static final long DEFAULT_IDLE_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(8);

  /** Maximum length of a body that is discarded to keep the connection. */
  private static final long DISCARD_LIMIT_BYTES = 65_536;

  /** Maximum time in which such a body must have ended after the first read. */
  private static final long DISCARD_LIMIT_MS = 1_000;

  /** Number of refused requests that a connection remembers; the oldest is forgotten first. */
  private static final int REFUSED_ID_LIMIT = 64;

  private final TargetId target;
  private final TargetPool pool;
  private final ResponseDecoder decoder;
  private final TargetAdapter adapter;
  private final SequencedSet<String> refusedIds = new LinkedHashSet<>();
  private Channel channel;

  private ResponseReceiver receiver;
  private Optional<String> requestId = Optional.empty();
  private boolean toHeadRequest;
  private boolean requestComplete;
  private boolean hasWrittenBytes;
  private boolean responseStarted;
  private boolean skippingInformational;
  private boolean reusable;
  private boolean discarding;
  private boolean discardTimed;
  private boolean requiresEchoedId;
  private long idleLimitNanos = DEFAULT_IDLE_LIMIT_NANOS;
  private long idleSinceNanos;
  private long bodyBytesLeft;
  private int exchanges;

  TargetConnection(
      TargetId target, TargetPool pool, ResponseDecoder decoder, TargetAdapter adapter) {
    this.target = target;
    this.pool = pool;
    this.decoder = decoder;
    this.adapter = adapter;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  /** Returns the target at the other end. */
  public TargetId target() {
    return target;
  }

  /** Marks the connection as idle from now on. */
  void markIdle() {
    idleSinceNanos = System.nanoTime();
  }

  /**
   * Returns whether the connection is open and has not been idle for so long that the target may
   * have closed it.
   */
  boolean mayBeReused() {
    return channel.isActive() && System.nanoTime() - idleSinceNanos < idleLimitNanos;
  }

  /**
   * Returns whether the connection may carry a request. Where it has been refused before, that
   * refusal, written again, would look like a refusal of its retry.
   *
   * @param id the request id, empty for a status check
   */
  boolean mayCarry(Optional<String> id) {
    return id.isEmpty() || !refusedIds.contains(id.get());
  }

  Channel channel() {
    return channel;
  }

  /**
   * Starts an exchange by writing the head of the request.
   *
   * @param head the head of the request
   * @param id the request id, which the target may echo in its response
   * @param responseReceiver receives the response
   */
  public void startExchange(HttpRequest head, String id, ResponseReceiver responseReceiver) {
    initExchange(head, Optional.of(id), responseReceiver);
  }

  /**
   * Starts an exchange and sends a status check, which has no request id.
   *
   * @param head the head of the status check, which has no body
   * @param responseReceiver receives the response
   */
  public void sendStatusCheck(HttpRequest head, ResponseReceiver responseReceiver) {
    // Its response may be written again, and has no id that would distinguish it.
    requiresEchoedId = true;
    initExchange(head, Optional.empty(), responseReceiver);
    bodyBytesLeft = DISCARD_LIMIT_BYTES;
    write(LastHttpContent.EMPTY_LAST_CONTENT);
    flush();
  }

  private void initExchange(
      HttpRequest head, Optional<String> id, ResponseReceiver responseReceiver) {
    receiver = responseReceiver;
    requestId = id;
    toHeadRequest = head.method().equals(HttpMethod.HEAD);
    requestComplete = false;
    hasWrittenBytes = false;
    responseStarted = false;
    reusable = false;
    discarding = false;
    discardTimed = false;
    bodyBytesLeft = Long.MAX_VALUE;
    exchanges++;
    decoder.expectResponse(toHeadRequest);
    channel.config().setAutoRead(true);
    channel.write(head, channel.newProgressivePromise().addListener(new WriteProgress()));
  }

  /**
   * Writes a part of the request's body.
   *
   * @param content owned by the connection; a {@code LastHttpContent} ends the request
   */
  public void write(HttpContent content) {
    requestComplete |= content instanceof LastHttpContent;
    int exchange = exchanges;
    channel.write(content).addListener(future -> onPartWritten(exchange, future.cause()));
  }

  private void onPartWritten(int exchange, Throwable cause) {
    // A connection that the target closed in order fails its pending parts with this exception.
    boolean reset = cause != null && !(cause instanceof ClosedChannelException);
    if (reset) {
      failLater(exchange);
    }
  }

  /**
   * Fails an exchange whose request could not be written. This precedes the decoder's notice that
   * the connection has ended, with which it would report an undelimited response as complete.
   */
  private void failLater(int exchange) {
    channel
        .eventLoop()
        .execute(
            () -> {
              if (exchange == exchanges && receiver != null) {
                fail(lostConnectionFailure());
              }
            });
  }

  /** Sends the written parts. */
  public void flush() {
    channel.flush();
  }

  /**
   * Returns whether more of the request's body can be written without exceeding the write buffer's
   * high-water mark.
   */
  public boolean isWritable() {
    return channel.isWritable();
  }

  /** Returns whether any byte of the current request has been written to the socket. */
  public boolean hasWrittenBytes() {
    return hasWrittenBytes;
  }

  /** Pauses or resumes reading the response. */
  public void setAutoRead(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  /**
   * Discards the rest of the response, which the receiver still gets. The connection is closed
   * unless the rest is short and arrives soon.
   */
  public void discardRest() {
    discarding = true;
    bodyBytesLeft = DISCARD_LIMIT_BYTES;
  }

  private void scheduleDiscardEnd() {
    discardTimed = true;
    int exchange = exchanges;
    channel
        .eventLoop()
        .schedule(
            () -> {
              if (exchange == exchanges && receiver != null) {
                failAndLog("a discarded response has not ended after " + DISCARD_LIMIT_MS + " ms");
              }
            },
            DISCARD_LIMIT_MS,
            TimeUnit.MILLISECONDS);
  }

  /** Aborts the exchange and closes the connection. The receiver is not called any more. */
  public void abort() {
    receiver = null;
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (receiver == null) {
      // Data outside an exchange: later responses could be matched to the wrong request.
      ReferenceCountUtil.release(message);
      channel.close();
      return;
    }
    switch (message) {
      case HttpResponse head -> onHead(head);
      case HttpContent content -> onContent(content);
      default -> ReferenceCountUtil.release(message);
    }
  }

  private void onHead(HttpResponse head) {
    if (head.decoderResult().isFailure()) {
      fail(malformedOrLost());
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      onInformational(head);
      return;
    }
    reusable = HttpUtil.isKeepAlive(head);
    idleLimitNanos = KeepAliveHeader.idleLimitNanos(head.headers()).orElse(idleLimitNanos);
    if (!isExpected(head)) {
      fail(ExchangeFailure.MALFORMED_ANSWER);
    } else {
      responseStarted = true;
      receiver.onHead(head);
    }
  }

  private ExchangeFailure malformedOrLost() {
    return channel.isActive() ? ExchangeFailure.MALFORMED_ANSWER : lostConnectionFailure();
  }

  private void onInformational(HttpResponse head) {
    if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      fail(ExchangeFailure.MALFORMED_ANSWER);
    } else {
      skippingInformational = true;
    }
  }

  private boolean isExpected(HttpResponse head) {
    if (!hasExpectedId(head) || ResponseFraming.hasUnknownEncoding(head)) {
      return false;
    }
    boolean delimited = ResponseFraming.isDelimited(head, toHeadRequest);
    // An undelimited response ends with its connection; it is complete unless the connection is
    // reset.
    reusable &= delimited;
    return hasWrittenBytes && (delimited || adapter.acceptsUndelimitedResponses());
  }

  private boolean hasExpectedId(HttpResponse head) {
    Optional<String> echoed = adapter.echoedRequestId(head.headers());
    if (requestId.isEmpty()) {
      return echoed.isEmpty();
    }
    if (echoed.isEmpty()) {
      return !requiresEchoedId && isExpectedWithoutId(head);
    }
    if (!echoed.equals(requestId)) {
      return false;
    }
    requiresEchoedId = true;
    if (isRefusal(head)) {
      rememberRefusal(echoed.get());
    }
    return true;
  }

  /**
   * Returns whether a response without a request id may be the expected one. A refusal may be an
   * earlier one that the target has written again, unless it is the first response of the
   * connection.
   */
  private boolean isExpectedWithoutId(HttpResponse head) {
    if (!isRefusal(head)) {
      return true;
    }
    // The next refusal without an id can be believed only on a new connection.
    reusable = false;
    return exchanges == 1;
  }

  private void rememberRefusal(String id) {
    refusedIds.add(id);
    if (refusedIds.size() > REFUSED_ID_LIMIT) {
      refusedIds.removeFirst();
    }
  }

  private boolean isRefusal(HttpResponse head) {
    return adapter.classify(head) instanceof ResponseDisposition.Refused;
  }

  private void onContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      content.release();
      fail(malformedOrLost());
    } else if (skippingInformational) {
      skippingInformational = !(content instanceof LastHttpContent);
      content.release();
    } else if (content.content().readableBytes() > bodyBytesLeft) {
      content.release();
      failAndLog("a discarded body exceeds " + DISCARD_LIMIT_BYTES + " bytes");
    } else {
      bodyBytesLeft -= content.content().readableBytes();
      decoder.countBody(content);
      boolean isLast = content instanceof LastHttpContent;
      receiver.onContent(content);
      // The receiver may have aborted the exchange.
      if (isLast && receiver != null) {
        complete();
      }
    }
  }

  private void complete() {
    decoder.endResponse();
    ResponseReceiver finished = receiver;
    receiver = null;
    if (reusable && requestComplete && channel.isActive() && !decoder.hasUndecodedBytes()) {
      channel.config().setAutoRead(true);
      pool.release(this);
    } else {
      channel.close();
    }
    finished.onComplete();
  }

  private void failAndLog(String reason) {
    pool.logFault(reason);
    if (receiver == null) {
      channel.close();
    } else {
      fail(ExchangeFailure.MALFORMED_ANSWER);
    }
  }

  private void fail(ExchangeFailure failure) {
    ResponseReceiver failed = receiver;
    receiver = null;
    channel.close();
    failed.onFailed(failure);
  }

  private ExchangeFailure lostConnectionFailure() {
    if (!hasWrittenBytes) {
      return ExchangeFailure.NOT_WRITTEN;
    }
    return exchanges > 1 && !responseStarted && !skippingInformational
        ? ExchangeFailure.STALE_CONNECTION
        : ExchangeFailure.CONNECTION_LOST;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (receiver != null) {
      receiver.onReadComplete();
    }
    if (receiver != null && discarding && !discardTimed) {
      scheduleDiscardEnd();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (receiver != null) {
      receiver.onWritabilityChanged();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.closed(this);
    if (receiver != null) {
      fail(lostConnectionFailure());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (channel.isActive() && cause instanceof io.netty.handler.codec.DecoderException) {
      failAndLog(cause.getMessage());
    } else if (receiver != null && cause instanceof io.netty.handler.codec.DecoderException) {
      fail(ExchangeFailure.MALFORMED_ANSWER);
    } else if (receiver != null) {
      // The decoder would report an undelimited response as complete here.
      fail(lostConnectionFailure());
    } else {
      channel.close();
    }
  }

  /** Detects when the first byte of a request's head has been written to the socket. */
  private final class WriteProgress implements ChannelProgressiveFutureListener {
    private final int exchange = exchanges;

    @Override
    public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
      hasWrittenBytes |= exchange == exchanges && progress > 0;
    }

    @Override
    public void operationComplete(ChannelProgressiveFuture future) {
      if (exchange != exchanges) {
        return;
      }
      hasWrittenBytes |= future.isSuccess();
      if (!future.isSuccess()) {
        failLater(exchange);
      }
    }
  }
}
