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
import org.waxwingbeam.target.net.ExchangeFailure;
import org.waxwingbeam.target.net.ResponseDisposition;
import org.waxwingbeam.target.net.ResponseReceiver;
import org.waxwingbeam.target.net.TargetConnection;

/**
 * One attempt at a request: asks for a target, sends the request there and passes the answer on. It
 * reports its end to the dispatcher exactly once. All methods run on the caller's event loop.
 */
final class TargetAttempt implements ResponseReceiver {
  /** Hears what becomes of an attempt. */
  interface Listener {
    /** The dispatcher gave the attempt no target. */
    void onNoTarget(TargetAttempt attempt, Decision.Refused refused);

    /** The attempt has a connection and is about to send the request. */
    void onConnected(TargetAttempt attempt);

    /**
     * The head of an answer has arrived that may go to the caller.
     *
     * @param failed whether the request ran and failed
     */
    void onHead(TargetAttempt attempt, HttpResponse head, boolean failed);

    /** A part of the answer has arrived; the listener owns it. */
    void onContent(TargetAttempt attempt, HttpContent content);

    /** The parts that were read together have been passed on. */
    void onReadComplete(TargetAttempt attempt);

    /** The whole answer has arrived. */
    void onComplete(TargetAttempt attempt);

    /** The attempt has failed. */
    void onFailed(TargetAttempt attempt, AttemptFailure failure);

    /** The connection can take more of the request's body, or no more. */
    void onWritabilityChanged(TargetAttempt attempt);
  }

  private final ExchangeContext context;
  private final Listener listener;
  private final DispatchRequest request;
  private final int connectionLimit;
  private final EventLoop loop;

  private TargetId target;
  private Optional<String> instance = Optional.empty();
  private Optional<Decision.SelectionBasis> basis = Optional.empty();
  private Optional<BufferedResponse> held = Optional.empty();
  private TargetConnection connection;
  private Optional<LoadReport> report = Optional.empty();
  private AttemptOutcome outcome = AttemptOutcome.SUCCESS;
  private long sentNanos;
  private long headLatencyNanos;
  private boolean sending;
  private boolean discarding;
  private boolean ended;
  private int nextPart;

  TargetAttempt(
      ExchangeContext context,
      Listener listener,
      DispatchRequest request,
      int connectionLimit,
      EventLoop loop) {
    this.context = context;
    this.listener = listener;
    this.request = request;
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
    instance = assigned.instance();
    basis = assigned.basis();
    sentNanos = context.clock().getAsLong();
    if (ended) {
      report(AttemptOutcome.CANCELLED);
      return;
    }
    context.connections().acquire(target, connectionLimit, loop, this::onConnection);
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

  /** Sends the head and what has arrived of the body. */
  void send(HttpRequest head, String requestId, RequestBody body) {
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
    while (nextPart < body.size()) {
      connection.write(body.part(nextPart));
      nextPart++;
    }
    connection.flush();
  }

  /** Returns whether the request has been begun and its connection is still in use. */
  boolean isSending() {
    return sending && !ended;
  }

  boolean isWritable() {
    return connection.isWritable();
  }

  void setReading(boolean reading) {
    if (isSending()) {
      connection.setAutoRead(reading);
    }
  }

  /** Returns whether any byte of the request has gone to the target. */
  boolean bytesWritten() {
    return connection != null && connection.hasWrittenBytes();
  }

  /** Returns when the request was sent, on the entry's monotonic clock. */
  long sentNanos() {
    return sentNanos;
  }

  /** Returns the target, once the dispatcher has given one. */
  Optional<TargetId> target() {
    return Optional.ofNullable(target);
  }

  /** Returns the identity that the target has stated, if it states one. */
  Optional<String> instance() {
    return instance;
  }

  /** Returns what the choice of the target was based on, if it was based on reports. */
  Optional<Decision.SelectionBasis> basis() {
    return basis;
  }

  /** Begins to keep the answer instead of passing it on. */
  void hold(BufferedResponse answer) {
    held = Optional.of(answer);
  }

  /** Returns the answer that is kept, if it is. */
  Optional<BufferedResponse> held() {
    return held;
  }

  /** Gives the kept answer away. */
  BufferedResponse takeHeld() {
    BufferedResponse taken = held.orElseThrow();
    held = Optional.empty();
    return taken;
  }

  private void releaseHeld() {
    held.ifPresent(BufferedResponse::close);
    held = Optional.empty();
  }

  int partsSent() {
    return nextPart;
  }

  /** Ends the attempt; its listener hears no more. */
  void cancel(AttemptOutcome why) {
    if (ended) {
      return;
    }
    ended = true;
    releaseHeld();
    if (isIdleBeforeTarget()) {
      context.dispatcher().cancel(request.attemptId());
      return;
    }
    if (connection != null) {
      connection.abort();
    }
    report(why);
  }

  private boolean isIdleBeforeTarget() {
    return target == null;
  }

  @Override
  public void onHead(HttpResponse head) {
    headLatencyNanos = context.clock().getAsLong() - sentNanos;
    report = context.targetAdapter().loadReport(head.headers());
    switch (context.targetAdapter().classify(head)) {
      case ResponseDisposition.Deliverable answered -> pass(head, false);
      case ResponseDisposition.Failed failed -> pass(head, true);
      case ResponseDisposition.Refused refusal ->
          discard(refusalOutcome(refusal.reason()), refusal.reason());
      case ResponseDisposition.Unusable unusable -> {
        connection.abort();
        discard(AttemptOutcome.FAILURE, RetryReason.MALFORMED_ANSWER);
      }
    }
  }

  private void pass(HttpResponse head, boolean failed) {
    outcome = head.status().code() >= 500 ? AttemptOutcome.FAILURE : AttemptOutcome.SUCCESS;
    listener.onHead(this, head, failed);
  }

  /** Ends the attempt although the rest of its answer is still to come. */
  private void discard(AttemptOutcome how, RetryReason reason) {
    discarding = true;
    fail(how, reason);
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
      report(outcome);
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

  private void fail(AttemptOutcome how, RetryReason reason) {
    ended = true;
    releaseHeld();
    report(how);
    listener.onFailed(this, AttemptFailure.of(reason));
  }

  private void report(AttemptOutcome how) {
    long latency =
        headLatencyNanos > 0 ? headLatencyNanos : context.clock().getAsLong() - sentNanos;
    context
        .dispatcher()
        .complete(new Completion(request.attemptId(), target, how, latency, report));
  }
}
