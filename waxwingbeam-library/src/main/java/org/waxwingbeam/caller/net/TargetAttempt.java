package org.waxwingbeam.caller.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.waxwingbeam.caller.AttemptFailure;
import org.waxwingbeam.caller.RetryReason;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.target.TargetNotice;
import org.waxwingbeam.target.net.ExchangeFailure;
import org.waxwingbeam.target.net.ResponseDisposition;
import org.waxwingbeam.target.net.ResponseReceiver;
import org.waxwingbeam.target.net.TargetConnection;

/**
 * One attempt at a request: requests a target from the dispatcher, sends the request to it and
 * passes the response to a listener. Once a target has been assigned, the end of the attempt is
 * reported to the dispatcher exactly once. All methods run on the event loop of the caller's
 * connection.
 */
final class TargetAttempt implements ResponseReceiver {
  /** Receives the events of an attempt. */
  interface Listener {
    /** The dispatcher refused to assign a target. */
    void onNoTarget(TargetAttempt attempt, Decision.Refused refused);

    /**
     * A connection to the target is available; the listener calls {@link TargetAttempt#send}, now
     * or later.
     */
    void onConnected(TargetAttempt attempt);

    /**
     * The head of a response that may be sent to the caller has arrived.
     *
     * @param failed whether the target ran the request and reports a failure
     */
    void onHead(TargetAttempt attempt, HttpResponse head, boolean failed);

    /** A part of the response body has arrived; the listener must release it. */
    void onContent(TargetAttempt attempt, HttpContent content);

    /** All parts of one read from the socket have been delivered. */
    void onReadComplete(TargetAttempt attempt);

    /** The response is complete. */
    void onComplete(TargetAttempt attempt);

    /** The attempt has failed. */
    void onFailed(TargetAttempt attempt, AttemptFailure failure);

    /** The connection to the target has become writable or is no longer writable. */
    void onWritabilityChanged(TargetAttempt attempt);
  }

  private final ExchangeContext context;
  private final Listener listener;
  private final DispatchRequest request;
  private final String requestId;
  private final int connectionLimit;
  private final EventLoop loop;

  private TargetId target;
  private Optional<String> instanceId = Optional.empty();
  private Optional<Decision.SelectionBasis> basis = Optional.empty();
  private Optional<BufferedResponse> bufferedResponse = Optional.empty();
  private TargetConnection connection;
  private Optional<LoadReport> loadReport = Optional.empty();
  private AttemptOutcome outcome = AttemptOutcome.SUCCESS;
  private long sentNanos;
  private long headLatencyNanos;
  private long transferredBytes;
  private boolean sending;
  private boolean discarding;
  private boolean ended;
  private int nextPart;

  TargetAttempt(
      ExchangeContext context,
      Listener listener,
      DispatchRequest request,
      String requestId,
      int connectionLimit,
      EventLoop loop) {
    this.context = context;
    this.listener = listener;
    this.request = request;
    this.requestId = requestId;
    this.connectionLimit = connectionLimit;
    sentNanos = context.clock().getAsLong();
    this.loop = loop;
  }

  void start() {
    onDecision(context.dispatcher().request(request, loop, this::onDecision));
  }

  private void onDecision(Decision decision) {
    switch (decision) {
      case Decision.Queued queued -> {}
      case Decision.Refused refusal -> {
        if (!ended) {
          ended = true;
          listener.onNoTarget(this, refusal);
        }
      }
      case Decision.Assigned assigned -> onAssigned(assigned);
    }
  }

  private void onAssigned(Decision.Assigned assigned) {
    target = assigned.target();
    instanceId = assigned.instance();
    basis = assigned.basis();
    sentNanos = context.clock().getAsLong();
    if (ended) {
      reportCompletion(AttemptOutcome.CANCELLED);
      return;
    }
    context
        .connections()
        .acquire(target, Optional.of(requestId), connectionLimit, loop, this::onConnection);
  }

  private void onConnection(Optional<TargetConnection> found) {
    if (ended) {
      found.ifPresent(context.connections()::release);
    } else if (found.isEmpty()) {
      fail(AttemptOutcome.CONNECT_FAILED, RetryReason.CONNECT_FAILED);
    } else {
      connection = found.get();
      listener.onConnected(this);
    }
  }

  /** Returns whether the target has not stated since the assignment that it wants no requests. */
  boolean maySend() {
    return context.dispatcher().maySend(target, instanceId);
  }

  /** Sends the head and the parts of the body that have arrived so far. */
  void send(HttpRequest head, RequestBody body) {
    sentNanos = context.clock().getAsLong();
    sending = true;
    connection.startExchange(head, requestId, this);
    sendBody(body);
  }

  /** Sends the parts of the body that have arrived since the last call. */
  void sendBody(RequestBody body) {
    if (!isSending()) {
      return;
    }
    while (nextPart < body.partCount()) {
      HttpContent part = body.part(nextPart);
      transferredBytes += part.content().readableBytes();
      connection.write(part);
      nextPart++;
    }
    connection.flush();
  }

  /** Returns whether sending has begun and the attempt has not ended. */
  boolean isSending() {
    return sending && !ended;
  }

  boolean isWritable() {
    return connection.isWritable();
  }

  void setAutoRead(boolean reading) {
    if (isSending()) {
      connection.setAutoRead(reading);
    }
  }

  /** Returns whether any byte of the request has been written to the target. */
  boolean hasWrittenBytes() {
    // Before the request is sent, the connection still tells of the previous exchange.
    return sending && connection.hasWrittenBytes();
  }

  /** Returns when the request was sent, by the entry instance's monotonic clock. */
  long sentNanos() {
    return sentNanos;
  }

  /** Returns the target, if the dispatcher has assigned one. */
  Optional<TargetId> target() {
    return Optional.ofNullable(target);
  }

  /** Returns the identity that the target reported, if any. */
  Optional<String> instanceId() {
    return instanceId;
  }

  /** Returns the data on which the target was chosen, if it was chosen by load reports. */
  Optional<Decision.SelectionBasis> basis() {
    return basis;
  }

  /** Buffers the response instead of passing it to the caller. */
  void bufferResponse(BufferedResponse response) {
    bufferedResponse = Optional.of(response);
  }

  /** Returns the buffered response, if the response is buffered. */
  Optional<BufferedResponse> bufferedResponse() {
    return bufferedResponse;
  }

  /**
   * Removes and returns the buffered response; the caller of this method must drain or close it.
   */
  BufferedResponse takeBufferedResponse() {
    BufferedResponse taken = bufferedResponse.orElseThrow();
    bufferedResponse = Optional.empty();
    return taken;
  }

  private void releaseBufferedResponse() {
    bufferedResponse.ifPresent(BufferedResponse::close);
    bufferedResponse = Optional.empty();
  }

  int sentPartCount() {
    return nextPart;
  }

  /** Cancels the attempt; its listener is not notified any more. */
  void cancel(AttemptOutcome cancelOutcome) {
    if (ended) {
      return;
    }
    ended = true;
    releaseBufferedResponse();
    if (isWaitingForTarget()) {
      context.dispatcher().cancel(request.attemptId());
      return;
    }
    releaseConnection();
    reportCompletion(cancelOutcome);
  }

  private void releaseConnection() {
    if (sending) {
      connection.abort();
    } else if (connection != null) {
      context.connections().release(connection);
    }
  }

  private boolean isWaitingForTarget() {
    return target == null;
  }

  @Override
  public void onHead(HttpResponse head) {
    headLatencyNanos = context.clock().getAsLong() - sentNanos;
    loadReport = context.targetAdapter().loadReport(head.headers());
    applyNotice(context.targetAdapter().notice(head));
    switch (context.targetAdapter().classify(head)) {
      case ResponseDisposition.Deliverable deliverable -> deliver(head, false);
      case ResponseDisposition.Failed failed -> deliver(head, true);
      case ResponseDisposition.Refused refusal -> {
        connection.discardRest();
        failAndDiscard(refusalOutcome(refusal.reason()), refusal.reason());
      }
      case ResponseDisposition.Unusable unusable -> {
        connection.abort();
        failAndDiscard(AttemptOutcome.FAILURE, RetryReason.MALFORMED_ANSWER);
      }
    }
  }

  private void applyNotice(TargetNotice notice) {
    if (!notice.equals(TargetNotice.NONE)) {
      context.metrics().onTargetNotice(notice.leaving() ? "leaving" : "resting");
      context.dispatcher().applyNotice(target, instanceId, notice);
    }
  }

  private void deliver(HttpResponse head, boolean failed) {
    outcome = head.status().code() >= 500 ? AttemptOutcome.FAILURE : AttemptOutcome.SUCCESS;
    listener.onHead(this, head, failed);
  }

  /** Fails the attempt and discards the rest of its response. */
  private void failAndDiscard(AttemptOutcome failureOutcome, RetryReason reason) {
    discarding = true;
    fail(failureOutcome, reason);
  }

  private static AttemptOutcome refusalOutcome(RetryReason reason) {
    return switch (reason) {
      case REFUSED_COLD -> AttemptOutcome.REFUSED_COLD;
      case REFUSED_DRAINING -> AttemptOutcome.REFUSED_DRAINING;
      case REFUSED_WRONG_TARGET -> AttemptOutcome.REFUSED_WRONG_TARGET;
      default -> AttemptOutcome.REFUSED_OVERLOADED;
    };
  }

  @Override
  public void onContent(HttpContent content) {
    transferredBytes += content.content().readableBytes();
    if (discarding) {
      content.release();
    } else {
      listener.onContent(this, content);
    }
  }

  @Override
  public void onReadComplete() {
    if (!ended) {
      listener.onReadComplete(this);
    }
  }

  @Override
  public void onComplete() {
    if (!ended) {
      ended = true;
      reportCompletion(outcome);
      listener.onComplete(this);
    }
  }

  @Override
  public void onFailed(ExchangeFailure failure) {
    if (ended) {
      return;
    }
    RetryReason reason =
        switch (failure) {
          case NOT_WRITTEN -> RetryReason.NOT_WRITTEN;
          case STALE_CONNECTION -> RetryReason.STALE_CONNECTION;
          case CONNECTION_LOST -> RetryReason.CONNECTION_LOST;
          case MALFORMED_ANSWER -> RetryReason.MALFORMED_ANSWER;
        };
    boolean unsent = failure == ExchangeFailure.NOT_WRITTEN;
    fail(unsent ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.CONNECTION_LOST, reason);
  }

  @Override
  public void onWritabilityChanged() {
    if (!ended) {
      listener.onWritabilityChanged(this);
    }
  }

  private void fail(AttemptOutcome failureOutcome, RetryReason reason) {
    ended = true;
    releaseBufferedResponse();
    reportCompletion(failureOutcome);
    listener.onFailed(this, AttemptFailure.of(reason));
  }

  private void reportCompletion(AttemptOutcome finalOutcome) {
    long latency =
        headLatencyNanos > 0 ? headLatencyNanos : context.clock().getAsLong() - sentNanos;
    context
        .dispatcher()
        .complete(
            new Completion(
                request.attemptId(), target, finalOutcome, latency, loadReport, transferredBytes));
  }
}
