package org.waxwingbeam.caller.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.waxwingbeam.caller.AttemptFailure;
import org.waxwingbeam.caller.RetryBudget;
import org.waxwingbeam.caller.RetryPolicy;
import org.waxwingbeam.caller.RetryReason;
import org.waxwingbeam.caller.RoutePolicy;
import org.waxwingbeam.control.ClaimOutcome;
import org.waxwingbeam.control.ClaimResponse;
import org.waxwingbeam.control.RecordedResponse;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.net.TargetAdapter;

/**
 * Serves one request: sends it to one or more targets, as the retry policy allows, and passes one
 * response or one error to the caller. All methods run on the event loop of the caller's
 * connection.
 */
final class Exchange implements TargetAttempt.Listener, AutoCloseable {
  /** The result of a request whose complete response was sent to the caller. */
  static final String ANSWERED = "answered";

  private static final long NANOS_PER_MS = 1_000_000;

  /** Time until a hedge that was not possible is tried again. */
  private static final long HEDGE_RETRY_NANOS = 20 * NANOS_PER_MS;

  private final ExchangeContext context;
  private final CallerConnection caller;
  private final EventLoop loop;
  private final RoutePolicy policy;
  private final RequestMetadata metadata;
  private final HttpRequest head;
  private final String requestId;
  private final RequestBody body = new RequestBody();
  private final List<TargetAttempt> active = new ArrayList<>(2);
  private final Set<TargetId> usedTargets = new HashSet<>(2);
  private final ExchangeTimeouts timeouts;
  private final ExchangeRecord record;
  private final Optional<IdempotencyClaim> claim;
  private final PoisonCheck poison;

  private Optional<AttemptFailure> ambiguousFailure = Optional.empty();
  private Optional<BufferedResponse> failedResponse = Optional.empty();
  private TargetAttempt respondingAttempt;
  private long forwardedBytes;
  private int attempts;
  // Whether the first attempt no longer waits for the body.
  private boolean prechecked;
  private boolean ended;

  Exchange(
      ExchangeContext context,
      CallerConnection caller,
      RoutePolicy policy,
      RequestMetadata metadata,
      HttpRequest head) {
    this.context = context;
    this.caller = caller;
    this.loop = caller.loop();
    this.policy = policy;
    this.metadata = metadata;
    this.head = head;
    this.requestId = metadata.requestId().orElseGet(context.ids()::nextRequest);
    this.timeouts = new ExchangeTimeouts(policy, metadata, context.clock().getAsLong());
    this.record = new ExchangeRecord(context, policy, requestId, timeouts);
    this.claim =
        metadata
            .key()
            .filter(key -> !policy.idempotent())
            .map(key -> new IdempotencyClaim(context, policy, key));
    this.poison = new PoisonCheck(context, policy, head, body, loop);
    HopByHopHeaders.removeFromRequest(head.headers());
  }

  /**
   * Starts the first attempt, or waits for the body if a decision depends on the complete request.
   */
  void start() {
    context.budgets().of(policy.service()).onRequest(context.clock().getAsLong());
    if (claim.isPresent() || poison.needsBody()) {
      caller.continueIfExpected();
    } else {
      prechecked = true;
      startAttempt();
    }
  }

  private void checkAndStartIfBodyComplete() {
    if (body.exceedsBufferLimit() && claim.isPresent()) {
      sendError(ErrorKind.REQUEST_TOO_LARGE, 0);
    } else if (body.isComplete() || body.exceedsBufferLimit()) {
      prechecked = true;
      checkAndStart();
    }
  }

  private void checkAndStart() {
    if (poison.isPoison()) {
      sendError(ErrorKind.POISON_REQUEST, 0);
    } else if (claim.isPresent()) {
      long leftMs = timeouts.headTimeLeftNanos(context.clock().getAsLong()) / NANOS_PER_MS;
      claim.get().claim(head, body, leftMs, loop, this::onClaim);
    } else {
      startAttempt();
    }
  }

  private void onClaim(ClaimResponse claimResponse) {
    switch (claimResponse) {
      case ClaimResponse.Granted granted -> startAttempt();
      case ClaimResponse.Recorded recorded -> replay(recorded.response());
      case ClaimResponse.AlreadyRunning running -> sendError(ErrorKind.ALREADY_RUNNING, 0);
      case ClaimResponse.AlreadyRun ran -> sendError(ErrorKind.ALREADY_RUN, 0);
      case ClaimResponse.OutcomeUnknown lost -> sendError(ErrorKind.OUTCOME_UNKNOWN, 0);
      case ClaimResponse.KeyReused reused -> sendError(ErrorKind.KEY_REUSED, 0);
      case ClaimResponse.Unavailable unavailable -> sendError(ErrorKind.NO_CLAIM, 0);
    }
  }

  private void replay(RecordedResponse recorded) {
    finish("replayed");
    caller.sendRecorded(recorded);
  }

  private void startAttempt() {
    attempts++;
    DispatchRequest request =
        new DispatchRequest(
            context.ids().nextAttempt(),
            policy.service(),
            policy.account(),
            policy.route(),
            policy.idempotent(),
            (int) policy.value(Parameter.SHED_RANK),
            (int) policy.value(Parameter.QUEUE_LIMIT),
            timeouts.headDeadlineNanos(),
            timeouts.startNanos() + policy.value(Parameter.RESPONSE_GOAL) * NANOS_PER_MS,
            !active.isEmpty(),
            Set.copyOf(usedTargets));
    int limit = (int) policy.value(Parameter.CONNECTION_LIMIT);
    TargetAttempt attempt =
        new TargetAttempt(
            context, this, request, requestId, context.connectionLimit().applyAsInt(limit), loop);
    active.add(attempt);
    attempt.start();
  }

  /** Handles a part of the request body and takes ownership of it. */
  void onBody(HttpContent part) {
    body.add(part);
    timeouts.onProgress(context.clock().getAsLong());
    if (body.byteCount() > policy.value(Parameter.REQUEST_BODY_LIMIT)) {
      abort(ErrorKind.REQUEST_TOO_LARGE);
      return;
    }
    if (body.isComplete()) {
      timeouts.onRequestComplete(context.clock().getAsLong());
    }
    if (!prechecked) {
      checkAndStartIfBodyComplete();
    }
    List.copyOf(active).forEach(each -> each.sendBody(body));
    discardSentBody();
    updateRequestReading();
  }

  private void discardSentBody() {
    if (body.exceedsBufferLimit() && active.size() == 1 && active.getFirst().isSending()) {
      body.discardBefore(active.getFirst().sentPartCount());
    }
  }

  private void updateRequestReading() {
    if (ended) {
      return;
    }
    boolean blocked =
        active.stream().anyMatch(each -> each.isSending() && !each.isWritable())
            || (body.exceedsBufferLimit() && active.stream().noneMatch(TargetAttempt::isSending));
    caller.setRequestReading(!blocked);
  }

  /** Returns the policy of the route that the request matched. */
  RoutePolicy policy() {
    return policy;
  }

  /** Returns whether the complete request has arrived. */
  boolean isRequestComplete() {
    return body.isComplete();
  }

  /**
   * Ends the exchange because the request is malformed or exceeds a limit.
   *
   * @param kindIfUnsent the error if nothing of the request has been sent to a target
   */
  void abort(ErrorKind kindIfUnsent) {
    boolean sent =
        active.stream().anyMatch(TargetAttempt::hasWrittenBytes) || ambiguousFailure.isPresent();
    cancelAll(AttemptOutcome.CANCELLED);
    if (respondingAttempt != null) {
      abortResponse();
    } else {
      sendError(sent ? ErrorKind.REQUEST_INCOMPLETE : kindIfUnsent, 0);
    }
  }

  /** Cancels the exchange because the caller disconnected, unless its outcome must be recorded. */
  void onCallerGone() {
    if (ended) {
      return;
    }
    context.metrics().onCallerGone();
    boolean sent =
        active.stream().anyMatch(TargetAttempt::hasWrittenBytes) || ambiguousFailure.isPresent();
    // A request with a claim that has been sent continues, so that its outcome can be recorded.
    if (claim.isEmpty() || !sent) {
      cancelAll(AttemptOutcome.CANCELLED);
      reportOutcome(ClaimOutcome.Result.DID_NOT_RUN);
      finish("caller-gone");
    }
  }

  /** Pauses reading the response while the caller's connection is not writable. */
  void onCallerWritabilityChanged(boolean writable) {
    timeouts.onProgress(context.clock().getAsLong());
    if (respondingAttempt != null) {
      respondingAttempt.setAutoRead(writable);
    }
  }

  /** Enforces the time limits of the exchange and hedges a slow request. */
  void onTick(long nowNanos) {
    switch (timeouts.violation(nowNanos)) {
      case HEAD_DEADLINE -> onDeadline();
      case REQUEST_STALLED -> abort(ErrorKind.REQUEST_TIMEOUT);
      case ANSWER_STALLED, ANSWER_TOO_LONG -> {
        cancelAll(AttemptOutcome.TIMED_OUT);
        abortResponse();
      }
      default -> hedgeIfSlow(nowNanos);
    }
  }

  /** Returns when {@link #onTick} may have something to do. */
  long nextCheckNanos(long nowNanos) {
    long limitNanos = timeouts.nextLimitNanos();
    if (!mayBeHedged()) {
      return limitNanos;
    }
    long hedgeNanos = active.getFirst().isSending() ? hedgeTimeNanos() : nowNanos;
    return Math.min(
        limitNanos, hedgeNanos - nowNanos > 0 ? hedgeNanos : nowNanos + HEDGE_RETRY_NANOS);
  }

  private boolean mayBeHedged() {
    return policy.value(Parameter.HEDGE_AFTER) > 0
        && attempts == 1
        && active.size() == 1
        && RetryPolicy.mayHedge(progress());
  }

  /** Returns when a second attempt is due, if the first has been sent. */
  private long hedgeTimeNanos() {
    return active.getFirst().sentNanos() + policy.value(Parameter.HEDGE_AFTER) * NANOS_PER_MS;
  }

  /** Sends an idempotent request to a second target if the first is slow to respond. */
  private void hedgeIfSlow(long nowNanos) {
    boolean slow =
        mayBeHedged() && active.getFirst().isSending() && nowNanos - hedgeTimeNanos() >= 0;
    if (slow && acquireRetry(RetryReason.HEDGE)) {
      context.metrics().onRetry(RetryReason.HEDGE);
      startAttempt();
    }
  }

  private void onDeadline() {
    boolean sent =
        active.stream().anyMatch(TargetAttempt::hasWrittenBytes) || ambiguousFailure.isPresent();
    cancelAll(AttemptOutcome.TIMED_OUT);
    sendError(sent ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_BEFORE_START, 0);
  }

  @Override
  public void onNoTarget(TargetAttempt attempt, Decision.Refused refused) {
    record.onAttemptEnded(attempt, refused.kind().code());
    active.remove(attempt);
    if (active.isEmpty()) {
      poison.whenDecided(() -> sendError(refused.kind(), refused.retryAfterMs()));
    }
  }

  /**
   * Sends the request after all events that have already arrived, among which may be the end of the
   * caller's connection.
   */
  @Override
  public void onConnected(TargetAttempt attempt) {
    loop.execute(() -> sendIfWanted(attempt));
  }

  private void sendIfWanted(TargetAttempt attempt) {
    if (!active.contains(attempt) || !caller.isConnected()) {
      return;
    }
    if (attempt.maySend()) {
      send(attempt);
    } else {
      replace(attempt);
    }
  }

  /** Requests another target for an attempt of which nothing has been sent. */
  private void replace(TargetAttempt attempt) {
    active.remove(attempt);
    record.onAttemptEnded(attempt, "withdrawn");
    attempt.cancel(AttemptOutcome.CANCELLED);
    attempts--;
    startAttempt();
  }

  private void send(TargetAttempt attempt) {
    if (timeouts.headTimeLeftNanos(context.clock().getAsLong()) <= 0) {
      onDeadline();
      return;
    }
    attempt.target().ifPresent(usedTargets::add);
    caller.continueIfExpected();
    attempt.send(outgoingHead(attempt), body);
    discardSentBody();
    updateRequestReading();
  }

  private HttpRequest outgoingHead(TargetAttempt attempt) {
    HttpHeaders headers = head.headers().copy();
    int number = Math.max(attempts, metadata.attempt());
    long leftMs = timeouts.headTimeLeftNanos(context.clock().getAsLong()) / NANOS_PER_MS;
    context
        .targetAdapter()
        .addRequestHeaders(
            headers,
            new TargetAdapter.AttemptMetadata(
                requestId, Math.max(1, leftMs), number, attempt.instanceId()));
    return new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers);
  }

  @Override
  public void onHead(TargetAttempt attempt, HttpResponse responseHead, boolean failed) {
    if (context.protocols().responseBufferBytes() > 0) {
      attempt.bufferResponse(new BufferedResponse(responseHead, failed));
    } else {
      startResponse(attempt, responseHead);
    }
  }

  private void startResponse(TargetAttempt attempt, HttpResponse responseHead) {
    respondingAttempt = attempt;
    active.remove(attempt);
    cancelAll(AttemptOutcome.CANCELLED);
    active.add(attempt);
    claim.ifPresent(each -> each.onHead(responseHead));
    timeouts.onResponseHead(context.clock().getAsLong());
    passOnHead(responseHead);
    attempt.setAutoRead(caller.isWritable());
  }

  /** Sends the head of a target's response, without what concerns only the target. */
  private void passOnHead(HttpResponse responseHead) {
    HopByHopHeaders.removeFromResponse(responseHead.headers());
    context.targetAdapter().removeInternalHeaders(responseHead.headers());
    record.onTargetStatus(responseHead.status().code());
    caller.writeHead(responseHead);
  }

  @Override
  public void onContent(TargetAttempt attempt, HttpContent content) {
    Optional<BufferedResponse> buffered = attempt.bufferedResponse();
    if (buffered.isEmpty()) {
      timeouts.onProgress(context.clock().getAsLong());
      forwardWithinLimit(content);
      return;
    }
    buffered.get().add(content);
    if (buffered.get().byteCount() > context.protocols().responseBufferBytes()) {
      deliverBuffered(attempt, false);
    }
  }

  private void forwardWithinLimit(HttpContent content) {
    long limit = policy.value(Parameter.RESPONSE_BODY_LIMIT);
    if (forwardedBytes + content.content().readableBytes() > limit) {
      content.release();
      cancelAll(AttemptOutcome.FAILURE);
      abortResponse();
    } else {
      forward(content);
    }
  }

  private void forward(HttpContent content) {
    forwardedBytes += content.content().readableBytes();
    claim.ifPresent(each -> each.onContent(content.content()));
    caller.write(content);
  }

  /** Sends the buffered part of a response to the caller; the rest is passed on as it arrives. */
  private void deliverBuffered(TargetAttempt attempt, boolean complete) {
    BufferedResponse buffered = attempt.takeBufferedResponse();
    buffered.setFraming(complete, isHeadRequest());
    startResponse(attempt, buffered.head());
    buffered.drainTo(this::forward);
  }

  private boolean isHeadRequest() {
    return head.method().equals(HttpMethod.HEAD);
  }

  @Override
  public void onReadComplete(TargetAttempt attempt) {
    if (attempt == respondingAttempt) {
      caller.flush();
    }
  }

  @Override
  public void onComplete(TargetAttempt attempt) {
    if (attempt.bufferedResponse().filter(BufferedResponse::isFailed).isPresent()) {
      onFailedResponse(attempt);
      return;
    }
    if (attempt.bufferedResponse().isPresent()) {
      deliverBuffered(attempt, true);
    }
    context.budgets().of(policy.service()).onSuccess(policy.value(Parameter.RETRY_BUDGET));
    reportOutcome(ClaimOutcome.Result.RAN);
    poison.onResponse();
    record.onAttemptEnded(attempt, ANSWERED);
    finish(ANSWERED);
    caller.onResponseComplete();
  }

  /** Keeps a target's response that reports a failure, in case no other target responds better. */
  private void onFailedResponse(TargetAttempt attempt) {
    active.remove(attempt);
    attempt.target().ifPresent(usedTargets::add);
    record.onAttemptEnded(attempt, "target-failed");
    poison.onResponse();
    BufferedResponse buffered = attempt.takeBufferedResponse();
    buffered.setFraming(true, isHeadRequest());
    failedResponse.ifPresentOrElse(
        earlier -> buffered.close(), () -> failedResponse = Optional.of(buffered));
    AttemptFailure failure = AttemptFailure.of(RetryReason.TARGET_FAILED);
    ambiguousFailure = Optional.of(ambiguousFailure.orElse(failure));
    if (active.isEmpty()) {
      retryOrFail(failure);
    }
  }

  /** Sends the kept response of a target that reports a failure. */
  private void sendFailedResponse(BufferedResponse response) {
    cancelAll(AttemptOutcome.CANCELLED);
    passOnHead(response.head());
    response.drainTo(caller::write);
    reportOutcome(ClaimOutcome.Result.RAN);
    finish("target-failure");
    caller.onResponseComplete();
  }

  @Override
  public void onFailed(TargetAttempt attempt, AttemptFailure failure) {
    active.remove(attempt);
    attempt.target().ifPresent(usedTargets::add);
    record.onAttemptEnded(attempt, failure.reason().code());
    poison.onFailed(attempt, failure);
    if (failure.mayHaveRun()) {
      ambiguousFailure = Optional.of(ambiguousFailure.orElse(failure));
    }
    if (attempt == respondingAttempt) {
      poison.whenDecided(this::abortResponse);
      return;
    }
    if (active.isEmpty()) {
      retryOrFail(failure);
    }
  }

  private void retryOrFail(AttemptFailure failure) {
    poison.whenDecided(() -> retryUnlessPoison(failure));
  }

  private void retryUnlessPoison(AttemptFailure failure) {
    if (ended) {
      return;
    }
    if (poison.isPoison()) {
      sendError(ErrorKind.POISON_REQUEST, 0);
    } else if (mayRetry(failure)) {
      context.metrics().onRetry(failure.reason());
      startAttempt();
    } else {
      sendError(failure.kind(), 0);
    }
  }

  private boolean mayRetry(AttemptFailure failure) {
    return RetryPolicy.mayRetry(failure, progress()) && acquireRetry(failure.reason());
  }

  private RetryPolicy.RequestProgress progress() {
    return new RetryPolicy.RequestProgress(
        policy.idempotent(),
        attempts,
        (int) policy.value(Parameter.MAX_ATTEMPTS),
        respondingAttempt != null,
        body.isReplayable(),
        metadata.isRetry());
  }

  private boolean acquireRetry(RetryReason reason) {
    RetryBudget budget = context.budgets().of(policy.service());
    long now = context.clock().getAsLong();
    boolean acquired =
        reason == RetryReason.HEDGE ? budget.tryAcquireHedge(now) : budget.tryAcquire(now);
    if (!acquired) {
      context.metrics().onDeniedRetry(reason);
    }
    return acquired;
  }

  @Override
  public void onWritabilityChanged(TargetAttempt attempt) {
    timeouts.onProgress(context.clock().getAsLong());
    updateRequestReading();
  }

  /**
   * Sends an error, or the kept response of a target that failed. If an earlier attempt may have
   * run the request, the error never says that the request has not run.
   */
  private void sendError(ErrorKind kind, long retryAfterMs) {
    if (ended) {
      return;
    }
    if (failedResponse.isPresent()) {
      sendFailedResponse(failedResponse.get());
      return;
    }
    ErrorKind reported =
        kind.run() == ErrorKind.Run.NO
            ? ambiguousFailure.map(AttemptFailure::kind).orElse(kind)
            : kind;
    boolean notRun = reported.run() == ErrorKind.Run.NO;
    reportOutcome(notRun ? ClaimOutcome.Result.DID_NOT_RUN : ClaimOutcome.Result.UNKNOWN);
    finish(reported.code());
    caller.sendError(reported, retryAfterMs, callerTimeLeftMs());
  }

  /** Returns the time until the caller's deadline, if it has one. */
  private Optional<Long> callerTimeLeftMs() {
    if (metadata.deadlineMs().isEmpty()) {
      return Optional.empty();
    }
    long passedMs = (context.clock().getAsLong() - timeouts.startNanos()) / NANOS_PER_MS;
    return Optional.of(Math.max(0, metadata.deadlineMs().getAsLong() - passedMs));
  }

  private void abortResponse() {
    if (ended) {
      return;
    }
    context.metrics().onTruncatedResponse();
    reportOutcome(ClaimOutcome.Result.UNKNOWN);
    finish("cut");
    caller.reset();
  }

  private void reportOutcome(ClaimOutcome.Result result) {
    claim.ifPresent(each -> each.reportOutcome(result));
  }

  private void cancelAll(AttemptOutcome outcome) {
    active.forEach(
        each -> record.onAttemptEnded(each, "given-up-" + outcome.name().toLowerCase(Locale.ROOT)));
    active.forEach(each -> each.cancel(outcome));
    active.clear();
  }

  private void finish(String result) {
    record.onEnded(result);
    // Has no effect if the outcome has already been reported.
    reportOutcome(ClaimOutcome.Result.UNKNOWN);
    ended = true;
    close();
  }

  @Override
  public void close() {
    body.close();
    failedResponse.ifPresent(BufferedResponse::close);
    caller.exchanges().remove(this);
  }
}
