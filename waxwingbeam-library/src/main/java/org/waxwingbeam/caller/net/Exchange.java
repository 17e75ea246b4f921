package org.waxwingbeam.caller.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
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

  private final ExchangeContext context;
  private final CallerConnection caller;
  private final EventLoop loop;
  private final RoutePolicy terms;
  private final RequestMetadata mark;
  private final HttpRequest head;
  private final String requestId;
  private final RequestBody body = new RequestBody();
  private final List<TargetAttempt> active = new ArrayList<>(2);
  private final List<RequestLog.AttemptSummary> attemptSummaries = new ArrayList<>(2);
  private final Set<TargetId> usedTargets = new HashSet<>(2);
  private final ExchangeTimeouts limits;
  private final Optional<IdempotencyClaim> claim;
  private final PoisonCheck poison;

  private Optional<AttemptFailure> ambiguousFailure = Optional.empty();
  private Optional<BufferedResponse> failedResponse = Optional.empty();
  private TargetAttempt deliveringAttempt;
  private int attempts;
  private boolean checked;
  private boolean ended;

  Exchange(
      ExchangeContext context,
      CallerConnection caller,
      RoutePolicy terms,
      RequestMetadata mark,
      HttpRequest head) {
    this.context = context;
    this.caller = caller;
    this.loop = caller.loop();
    this.terms = terms;
    this.mark = mark;
    this.head = head;
    this.requestId = mark.requestId().orElseGet(context.ids()::nextRequest);
    this.limits = new ExchangeTimeouts(terms, mark, context.clock().getAsLong());
    this.claim =
        mark.key()
            .filter(key -> !terms.idempotent())
            .map(key -> new IdempotencyClaim(context, terms, key));
    this.poison = new PoisonCheck(context, terms, head, body);
    HopByHopHeaders.removeFromRequest(head.headers());
  }

  /**
   * Starts the first attempt, or waits for the body if a decision depends on the complete request.
   */
  void start() {
    context.budgets().of(terms.service()).onRequest(context.clock().getAsLong());
    if (claim.isPresent() || poison.needsBody()) {
      caller.continueIfExpected();
    } else {
      checked = true;
      startAttempt();
    }
  }

  private void checkAndStartIfBodyComplete() {
    if (body.exceedsKeptLimit() && claim.isPresent()) {
      sendError(ErrorKind.REQUEST_TOO_LARGE, 0);
    } else if (body.isWhole() || body.exceedsKeptLimit()) {
      checked = true;
      checkAndStart();
    }
  }

  private void checkAndStart() {
    if (poison.isPoison()) {
      sendError(ErrorKind.POISON_REQUEST, 0);
    } else if (claim.isPresent()) {
      long leftMs = limits.headLeftNanos(context.clock().getAsLong()) / NANOS_PER_MS;
      claim.get().claim(head, body, leftMs, loop, this::onClaim);
    } else {
      startAttempt();
    }
  }

  private void onClaim(ClaimResponse claimAnswer) {
    switch (claimAnswer) {
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
            terms.service(),
            terms.account(),
            terms.route(),
            terms.idempotent(),
            (int) terms.value(Parameter.SHED_RANK),
            (int) terms.value(Parameter.QUEUE_LIMIT),
            limits.headDeadlineNanos(),
            limits.startNanos() + terms.value(Parameter.RESPONSE_GOAL) * NANOS_PER_MS,
            !active.isEmpty(),
            Set.copyOf(usedTargets));
    int limit = (int) terms.value(Parameter.CONNECTION_LIMIT);
    TargetAttempt attempt =
        new TargetAttempt(
            context, this, request, context.connectionLimit().applyAsInt(limit), loop);
    active.add(attempt);
    attempt.start();
  }

  /** Handles a part of the request body and takes ownership of it. */
  void onBody(HttpContent part) {
    body.add(part);
    limits.onProgress(context.clock().getAsLong());
    if (body.bytes() > terms.value(Parameter.REQUEST_BODY_LIMIT)) {
      abandon(ErrorKind.REQUEST_TOO_LARGE);
      return;
    }
    if (body.isWhole()) {
      limits.onRequestWhole(context.clock().getAsLong());
    }
    if (!checked) {
      checkAndStartIfBodyComplete();
    }
    List.copyOf(active).forEach(each -> each.sendBody(body));
    discardSentBody();
    updateRequestReading();
  }

  private void discardSentBody() {
    if (body.exceedsKeptLimit() && active.size() == 1 && active.getFirst().isSending()) {
      body.discardBelow(active.getFirst().partsSent());
    }
  }

  private void updateRequestReading() {
    if (ended) {
      return;
    }
    boolean blocked =
        active.stream().anyMatch(each -> each.isSending() && !each.isWritable())
            || (body.exceedsKeptLimit() && active.stream().noneMatch(TargetAttempt::isSending));
    caller.setRequestReading(!blocked);
  }

  /** Returns how the request is handled. */
  RoutePolicy terms() {
    return terms;
  }

  /** Returns whether the complete request has arrived. */
  boolean isRequestWhole() {
    return body.isWhole();
  }

  /**
   * Ends the exchange because the request is malformed or exceeds a limit.
   *
   * @param kindIfUnsent the error if nothing of the request has been sent to a target
   */
  void abandon(ErrorKind kindIfUnsent) {
    boolean sent =
        active.stream().anyMatch(TargetAttempt::bytesWritten) || ambiguousFailure.isPresent();
    cancelAll(AttemptOutcome.CANCELLED);
    if (deliveringAttempt != null) {
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
    boolean sent = active.stream().anyMatch(TargetAttempt::bytesWritten);
    // A request with a claim that has been sent continues, so that its outcome can be recorded.
    if (claim.isEmpty() || !sent) {
      cancelAll(AttemptOutcome.CANCELLED);
      reportOutcome(ClaimOutcome.Result.DID_NOT_RUN);
      finish("caller-gone");
    }
  }

  /** Pauses reading the response while the caller's connection is not writable. */
  void onCallerWritabilityChanged(boolean writable) {
    limits.onProgress(context.clock().getAsLong());
    if (deliveringAttempt != null) {
      deliveringAttempt.setReading(writable);
    }
  }

  /** Enforces the time limits of the exchange and hedges a slow request. */
  void onTick(long nowNanos) {
    switch (limits.broken(nowNanos)) {
      case HEAD_DEADLINE -> onDeadline();
      case REQUEST_STALLED -> abandon(ErrorKind.REQUEST_TIMEOUT);
      case ANSWER_STALLED, ANSWER_TOO_LONG -> {
        cancelAll(AttemptOutcome.TIMED_OUT);
        abortResponse();
      }
      default -> hedgeIfSlow(nowNanos);
    }
  }

  /** Sends an idempotent request to a second target if the first is slow to respond. */
  private void hedgeIfSlow(long nowNanos) {
    long afterNanos = terms.value(Parameter.HEDGE_AFTER) * NANOS_PER_MS;
    boolean slow =
        afterNanos > 0
            && attempts == 1
            && active.size() == 1
            && active.getFirst().isSending()
            && nowNanos - active.getFirst().sentNanos() >= afterNanos;
    if (slow && RetryPolicy.mayHedge(progress()) && spendRetry(RetryReason.HEDGE)) {
      context.metrics().onRetry(RetryReason.HEDGE);
      startAttempt();
    }
  }

  private void onDeadline() {
    boolean sent =
        active.stream().anyMatch(TargetAttempt::bytesWritten) || ambiguousFailure.isPresent();
    cancelAll(AttemptOutcome.TIMED_OUT);
    sendError(sent ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_BEFORE_START, 0);
  }

  @Override
  public void onNoTarget(TargetAttempt attempt, Decision.Refused refused) {
    recordAttempt(attempt, refused.kind().code());
    active.remove(attempt);
    if (active.isEmpty()) {
      sendError(refused.kind(), refused.retryAfterMs());
    }
  }

  @Override
  public void onConnected(TargetAttempt attempt) {
    if (limits.headLeftNanos(context.clock().getAsLong()) <= 0) {
      onDeadline();
      return;
    }
    attempt.target().ifPresent(usedTargets::add);
    caller.continueIfExpected();
    attempt.send(outgoingHead(attempt), requestId, body);
    discardSentBody();
    updateRequestReading();
  }

  private HttpRequest outgoingHead(TargetAttempt attempt) {
    HttpHeaders headers = head.headers().copy();
    int number = Math.max(attempts, mark.attempt());
    long leftMs = limits.headLeftNanos(context.clock().getAsLong()) / NANOS_PER_MS;
    context
        .targetAdapter()
        .addRequestHeaders(
            headers,
            new TargetAdapter.AttemptMetadata(
                requestId, Math.max(1, leftMs), number, attempt.instance()));
    return new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers);
  }

  @Override
  public void onHead(TargetAttempt attempt, HttpResponse answerHead, boolean failed) {
    if (context.protocols().responseBufferBytes() > 0) {
      attempt.hold(new BufferedResponse(answerHead, failed));
    } else {
      startResponse(attempt, answerHead);
    }
  }

  private void startResponse(TargetAttempt attempt, HttpResponse answerHead) {
    deliveringAttempt = attempt;
    active.remove(attempt);
    cancelAll(AttemptOutcome.CANCELLED);
    active.add(attempt);
    claim.ifPresent(each -> each.onHead(answerHead));
    limits.onResponseHead(context.clock().getAsLong());
    HopByHopHeaders.removeFromResponse(answerHead.headers());
    context.targetAdapter().removeInternalHeaders(answerHead.headers());
    caller.writeHead(answerHead);
    attempt.setReading(caller.isWritable());
  }

  @Override
  public void onContent(TargetAttempt attempt, HttpContent content) {
    Optional<BufferedResponse> held = attempt.held();
    if (held.isEmpty()) {
      limits.onProgress(context.clock().getAsLong());
      forward(content);
      return;
    }
    held.get().add(content);
    if (held.get().bytes() > context.protocols().responseBufferBytes()) {
      deliverBuffered(attempt, false);
    }
  }

  private void forward(HttpContent content) {
    claim.ifPresent(each -> each.onContent(content.content()));
    caller.write(content);
  }

  /** Sends the buffered part of a response to the caller; the rest is passed on as it arrives. */
  private void deliverBuffered(TargetAttempt attempt, boolean whole) {
    BufferedResponse held = attempt.takeHeld();
    held.delimit(whole);
    startResponse(attempt, held.head());
    held.drainTo(this::forward);
  }

  @Override
  public void onReadComplete(TargetAttempt attempt) {
    if (attempt == deliveringAttempt) {
      caller.flush();
    }
  }

  @Override
  public void onComplete(TargetAttempt attempt) {
    if (attempt.held().filter(BufferedResponse::isFailed).isPresent()) {
      onFailedResponse(attempt);
      return;
    }
    if (attempt.held().isPresent()) {
      deliverBuffered(attempt, true);
    }
    context.budgets().of(terms.service()).onSuccess(terms.value(Parameter.RETRY_BUDGET));
    reportOutcome(ClaimOutcome.Result.RAN);
    poison.onResponse();
    recordAttempt(attempt, ANSWERED);
    finish(ANSWERED);
    caller.onResponseComplete();
  }

  /** Keeps a target's response that reports a failure, in case no other target responds better. */
  private void onFailedResponse(TargetAttempt attempt) {
    active.remove(attempt);
    attempt.target().ifPresent(usedTargets::add);
    recordAttempt(attempt, "target-failed");
    poison.onResponse();
    BufferedResponse held = attempt.takeHeld();
    held.delimit(true);
    failedResponse.ifPresentOrElse(
        earlier -> held.close(), () -> failedResponse = Optional.of(held));
    AttemptFailure failure = AttemptFailure.of(RetryReason.TARGET_FAILED);
    ambiguousFailure = Optional.of(ambiguousFailure.orElse(failure));
    if (active.isEmpty()) {
      retryOrFail(failure);
    }
  }

  /** Sends the kept response of a target that reports a failure. */
  private void sendFallback(BufferedResponse failed) {
    cancelAll(AttemptOutcome.CANCELLED);
    HopByHopHeaders.removeFromResponse(failed.head().headers());
    context.targetAdapter().removeInternalHeaders(failed.head().headers());
    caller.writeHead(failed.head());
    failed.drainTo(caller::write);
    reportOutcome(ClaimOutcome.Result.RAN);
    finish("target-failure");
    caller.onResponseComplete();
  }

  @Override
  public void onFailed(TargetAttempt attempt, AttemptFailure failure) {
    active.remove(attempt);
    attempt.target().ifPresent(usedTargets::add);
    recordAttempt(attempt, failure.reason().code());
    poison.onFailed(attempt, failure);
    if (attempt == deliveringAttempt) {
      abortResponse();
      return;
    }
    if (failure.mayHaveRun()) {
      ambiguousFailure = Optional.of(ambiguousFailure.orElse(failure));
    }
    if (active.isEmpty()) {
      retryOrFail(failure);
    }
  }

  private void retryOrFail(AttemptFailure failure) {
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
    return RetryPolicy.mayRetry(failure, progress()) && spendRetry(failure.reason());
  }

  private RetryPolicy.RequestProgress progress() {
    return new RetryPolicy.RequestProgress(
        terms.idempotent(),
        attempts,
        (int) terms.value(Parameter.MAX_ATTEMPTS),
        deliveringAttempt != null,
        body.isKept(),
        mark.isRetry());
  }

  private boolean spendRetry(RetryReason reason) {
    boolean spent = context.budgets().of(terms.service()).tryAcquire(context.clock().getAsLong());
    if (!spent) {
      context.metrics().onDeniedRetry(reason);
    }
    return spent;
  }

  @Override
  public void onWritabilityChanged(TargetAttempt attempt) {
    limits.onProgress(context.clock().getAsLong());
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
      sendFallback(failedResponse.get());
      return;
    }
    ErrorKind reported =
        kind.run() == ErrorKind.Run.NO
            ? ambiguousFailure.map(AttemptFailure::kind).orElse(kind)
            : kind;
    boolean notRun = reported.run() == ErrorKind.Run.NO;
    reportOutcome(notRun ? ClaimOutcome.Result.DID_NOT_RUN : ClaimOutcome.Result.UNKNOWN);
    finish(reported.code());
    caller.sendError(reported, retryAfterMs, callerLeftMs());
  }

  /** Returns the time until the caller's deadline, if it has one. */
  private Optional<Long> callerLeftMs() {
    if (mark.deadlineMs().isEmpty()) {
      return Optional.empty();
    }
    long passedMs = (context.clock().getAsLong() - limits.startNanos()) / NANOS_PER_MS;
    return Optional.of(Math.max(0, mark.deadlineMs().getAsLong() - passedMs));
  }

  private void abortResponse() {
    context.metrics().onTruncatedResponse();
    reportOutcome(ClaimOutcome.Result.UNKNOWN);
    finish("cut");
    caller.cut();
  }

  private void reportOutcome(ClaimOutcome.Result result) {
    claim.ifPresent(each -> each.reportOutcome(result));
  }

  private void cancelAll(AttemptOutcome why) {
    active.forEach(each -> recordAttempt(each, "given-up-" + why.name().toLowerCase(Locale.ROOT)));
    active.forEach(each -> each.cancel(why));
    active.clear();
  }

  private void recordAttempt(TargetAttempt attempt, String result) {
    long start = limits.startNanos();
    attemptSummaries.add(
        new RequestLog.AttemptSummary(
            attempt.target(),
            attempt.basis(),
            (attempt.sentNanos() - start) / NANOS_PER_MS,
            (context.clock().getAsLong() - start) / NANOS_PER_MS,
            result));
  }

  private void finish(String result) {
    long now = context.clock().getAsLong();
    context.metrics().onRequestEnded(terms.route(), result, now - limits.startNanos());
    context
        .requestLog()
        .logRequest(
            now,
            new RequestLog.RequestSummary(
                requestId,
                terms,
                List.copyOf(attemptSummaries),
                result,
                now - limits.startNanos(),
                limits.headDeadlineNanos() - now));
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
