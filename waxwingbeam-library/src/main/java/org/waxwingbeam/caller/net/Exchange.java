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
import org.waxwingbeam.caller.RequestTerms;
import org.waxwingbeam.caller.RetryPolicy;
import org.waxwingbeam.caller.RetryReason;
import org.waxwingbeam.control.ClaimAnswer;
import org.waxwingbeam.control.ClaimSettlement;
import org.waxwingbeam.control.RecordedAnswer;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.Outcome;
import org.waxwingbeam.target.net.TargetDialect;

/**
 * Serves one request: sends it to targets as the retry policy allows and passes one whole answer,
 * or one error, on to the caller. All methods run on the caller's event loop.
 */
final class Exchange implements Attempt.Listener, AutoCloseable {
  /** The result of a request whose answer was passed on whole. */
  static final String ANSWERED = "answered";

  private static final long NANOS_PER_MS = 1_000_000;

  private final ExchangeContext context;
  private final CallerConnection caller;
  private final EventLoop loop;
  private final RequestTerms terms;
  private final RequestMark mark;
  private final HttpRequest head;
  private final String requestId;
  private final RequestBody body = new RequestBody();
  private final List<Attempt> active = new ArrayList<>(2);
  private final List<RequestLog.AttemptNote> notes = new ArrayList<>(2);
  private final Set<TargetId> used = new HashSet<>(2);
  private final ExchangeLimits limits;
  private final Optional<KeyClaim> claim;
  private final PoisonCheck poison;

  private Optional<AttemptFailure> uncertain = Optional.empty();
  private Optional<HeldAnswer> fallback = Optional.empty();
  private Attempt answering;
  private int attempts;
  private boolean prepared;
  private boolean ended;

  Exchange(
      ExchangeContext context,
      CallerConnection caller,
      RequestTerms terms,
      RequestMark mark,
      HttpRequest head) {
    this.context = context;
    this.caller = caller;
    this.loop = caller.loop();
    this.terms = terms;
    this.mark = mark;
    this.head = head;
    this.requestId = mark.requestId().orElseGet(context.ids()::nextRequest);
    this.limits = new ExchangeLimits(terms, mark, context.clock().getAsLong());
    this.claim =
        mark.key().filter(key -> !terms.idempotent()).map(key -> new KeyClaim(context, terms, key));
    this.poison = new PoisonCheck(context, terms, head, body);
    EndToEndHeaders.keepInRequest(head.headers());
  }

  /** Starts the first attempt, or waits for the body if the request must be known whole. */
  void start() {
    context.budgets().of(terms.service()).onRequest(context.clock().getAsLong());
    if (claim.isPresent() || poison.needsBody()) {
      caller.continueIfExpected();
    } else {
      prepared = true;
      startAttempt();
    }
  }

  private void prepareIfWhole() {
    if (body.exceedsKeptLimit() && claim.isPresent()) {
      answer(ErrorKind.REQUEST_TOO_LARGE, 0);
    } else if (body.isWhole() || body.exceedsKeptLimit()) {
      prepared = true;
      prepare();
    }
  }

  private void prepare() {
    if (poison.isPoison()) {
      answer(ErrorKind.POISON_REQUEST, 0);
    } else if (claim.isPresent()) {
      long leftMs = limits.headLeftNanos(context.clock().getAsLong()) / NANOS_PER_MS;
      claim.get().claim(head, body, leftMs, loop, this::onClaim);
    } else {
      startAttempt();
    }
  }

  private void onClaim(ClaimAnswer claimAnswer) {
    switch (claimAnswer) {
      case ClaimAnswer.Granted granted -> startAttempt();
      case ClaimAnswer.Recorded recorded -> replay(recorded.answer());
      case ClaimAnswer.AlreadyRunning running -> answer(ErrorKind.ALREADY_RUNNING, 0);
      case ClaimAnswer.AlreadyRun ran -> answer(ErrorKind.ALREADY_RUN, 0);
      case ClaimAnswer.OutcomeUnknown lost -> answer(ErrorKind.OUTCOME_UNKNOWN, 0);
      case ClaimAnswer.KeyReused reused -> answer(ErrorKind.KEY_REUSED, 0);
      case ClaimAnswer.Unavailable unavailable -> answer(ErrorKind.NO_CLAIM, 0);
    }
  }

  private void replay(RecordedAnswer recorded) {
    finish("replayed");
    caller.answerRecorded(recorded);
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
            Set.copyOf(used));
    int limit = (int) terms.value(Parameter.CONNECTION_LIMIT);
    Attempt attempt =
        new Attempt(context, this, request, context.connectionShare().applyAsInt(limit), loop);
    active.add(attempt);
    attempt.start();
  }

  /** Takes a part of the request's body. */
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
    if (!prepared) {
      prepareIfWhole();
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
            || (body.exceedsKeptLimit() && active.stream().noneMatch(Attempt::isSending));
    caller.setRequestReading(!blocked);
  }

  /** Returns how the request is treated. */
  RequestTerms terms() {
    return terms;
  }

  /** Returns whether the request has arrived to its end. */
  boolean isRequestWhole() {
    return body.isWhole();
  }

  /** Ends the exchange because the request itself broke off or broke a limit. */
  void abandon(ErrorKind kindIfUnsent) {
    boolean sent = active.stream().anyMatch(Attempt::bytesWritten) || uncertain.isPresent();
    cancelAll(Outcome.CANCELLED);
    if (answering != null) {
      cut();
    } else {
      answer(sent ? ErrorKind.REQUEST_INCOMPLETE : kindIfUnsent, 0);
    }
  }

  /** Cancels the exchange because the caller has left, unless its outcome is to be recorded. */
  void onCallerGone() {
    if (ended) {
      return;
    }
    context.metrics().onCallerGone();
    boolean sent = active.stream().anyMatch(Attempt::bytesWritten);
    // A claimed request that has gone out runs on, so that its outcome is known.
    if (claim.isEmpty() || !sent) {
      cancelAll(Outcome.CANCELLED);
      settle(ClaimSettlement.Result.DID_NOT_RUN);
      finish("caller-gone");
    }
  }

  /** Stops or resumes reading the answer as the caller's connection allows. */
  void onCallerWritabilityChanged(boolean writable) {
    limits.onProgress(context.clock().getAsLong());
    if (answering != null) {
      answering.setReading(writable);
    }
  }

  /** Enforces the limits on the exchange's time. */
  void onTick(long nowNanos) {
    switch (limits.broken(nowNanos)) {
      case HEAD_DEADLINE -> onDeadline();
      case REQUEST_STALLED -> abandon(ErrorKind.REQUEST_TIMEOUT);
      case ANSWER_STALLED, ANSWER_TOO_LONG -> {
        cancelAll(Outcome.TIMED_OUT);
        cut();
      }
      default -> hedgeIfSlow(nowNanos);
    }
  }

  /** Sends an idempotent request to a second target if the first is slow to answer. */
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
    boolean sent = active.stream().anyMatch(Attempt::bytesWritten) || uncertain.isPresent();
    cancelAll(Outcome.TIMED_OUT);
    answer(sent ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_BEFORE_START, 0);
  }

  @Override
  public void onNoTarget(Attempt attempt, Decision.Refused refused) {
    note(attempt, refused.kind().code());
    active.remove(attempt);
    if (active.isEmpty()) {
      answer(refused.kind(), refused.retryAfterMs());
    }
  }

  @Override
  public void onConnected(Attempt attempt) {
    if (limits.headLeftNanos(context.clock().getAsLong()) <= 0) {
      onDeadline();
      return;
    }
    attempt.target().ifPresent(used::add);
    caller.continueIfExpected();
    attempt.send(outgoingHead(attempt), requestId, body);
    discardSentBody();
    updateRequestReading();
  }

  private HttpRequest outgoingHead(Attempt attempt) {
    HttpHeaders headers = head.headers().copy();
    int number = Math.max(attempts, mark.attempt());
    long leftMs = limits.headLeftNanos(context.clock().getAsLong()) / NANOS_PER_MS;
    context
        .targetDialect()
        .mark(
            headers,
            new TargetDialect.Delivery(requestId, Math.max(1, leftMs), number, attempt.instance()));
    return new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers);
  }

  @Override
  public void onHead(Attempt attempt, HttpResponse answerHead, boolean failed) {
    if (context.protocols().heldAnswerBytes() > 0) {
      attempt.hold(new HeldAnswer(answerHead, failed));
    } else {
      beginAnswer(attempt, answerHead);
    }
  }

  private void beginAnswer(Attempt attempt, HttpResponse answerHead) {
    answering = attempt;
    active.remove(attempt);
    cancelAll(Outcome.CANCELLED);
    active.add(attempt);
    claim.ifPresent(each -> each.onHead(answerHead));
    limits.onAnswerHead(context.clock().getAsLong());
    EndToEndHeaders.keepInAnswer(answerHead.headers());
    context.targetDialect().keepForCaller(answerHead.headers());
    caller.writeHead(answerHead);
    attempt.setReading(caller.isWritable());
  }

  @Override
  public void onContent(Attempt attempt, HttpContent content) {
    Optional<HeldAnswer> held = attempt.held();
    if (held.isEmpty()) {
      limits.onProgress(context.clock().getAsLong());
      passOn(content);
      return;
    }
    held.get().add(content);
    if (held.get().bytes() > context.protocols().heldAnswerBytes()) {
      release(attempt, false);
    }
  }

  private void passOn(HttpContent content) {
    claim.ifPresent(each -> each.onContent(content.content()));
    caller.write(content);
  }

  /** Passes on what has been kept of an answer; the rest follows as it arrives. */
  private void release(Attempt attempt, boolean whole) {
    HeldAnswer held = attempt.takeHeld();
    held.delimit(whole);
    beginAnswer(attempt, held.head());
    held.drainTo(this::passOn);
  }

  @Override
  public void onReadComplete(Attempt attempt) {
    if (attempt == answering) {
      caller.flush();
    }
  }

  @Override
  public void onComplete(Attempt attempt) {
    if (attempt.held().filter(HeldAnswer::isFailed).isPresent()) {
      onFailedAnswer(attempt);
      return;
    }
    if (attempt.held().isPresent()) {
      release(attempt, true);
    }
    context.budgets().of(terms.service()).onSuccess(terms.value(Parameter.RETRY_BUDGET));
    settle(ClaimSettlement.Result.RAN);
    poison.onAnswered();
    note(attempt, ANSWERED);
    finish(ANSWERED);
    caller.onAnswered();
  }

  /** Keeps a failure that a target answered with, in case no better answer is to be had. */
  private void onFailedAnswer(Attempt attempt) {
    active.remove(attempt);
    attempt.target().ifPresent(used::add);
    note(attempt, "target-failed");
    poison.onAnswered();
    HeldAnswer held = attempt.takeHeld();
    held.delimit(true);
    fallback.ifPresentOrElse(earlier -> held.close(), () -> fallback = Optional.of(held));
    AttemptFailure failure = AttemptFailure.of(RetryReason.TARGET_FAILED);
    uncertain = Optional.of(uncertain.orElse(failure));
    if (active.isEmpty()) {
      retryOrAnswer(failure);
    }
  }

  /** Passes on a failure that a target answered with. */
  private void answerFallback(HeldAnswer failed) {
    cancelAll(Outcome.CANCELLED);
    EndToEndHeaders.keepInAnswer(failed.head().headers());
    context.targetDialect().keepForCaller(failed.head().headers());
    caller.writeHead(failed.head());
    failed.drainTo(caller::write);
    settle(ClaimSettlement.Result.RAN);
    finish("target-failure");
    caller.onAnswered();
  }

  @Override
  public void onFailed(Attempt attempt, AttemptFailure failure) {
    active.remove(attempt);
    attempt.target().ifPresent(used::add);
    note(attempt, failure.reason().code());
    poison.onFailed(attempt, failure);
    if (attempt == answering) {
      cut();
      return;
    }
    if (failure.mayHaveRun()) {
      uncertain = Optional.of(uncertain.orElse(failure));
    }
    if (active.isEmpty()) {
      retryOrAnswer(failure);
    }
  }

  private void retryOrAnswer(AttemptFailure failure) {
    if (poison.isPoison()) {
      answer(ErrorKind.POISON_REQUEST, 0);
    } else if (mayRetry(failure)) {
      context.metrics().onRetry(failure.reason());
      startAttempt();
    } else {
      answer(failure.kind(), 0);
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
        answering != null,
        body.isKept(),
        mark.isRetry());
  }

  private boolean spendRetry(RetryReason reason) {
    boolean spent = context.budgets().of(terms.service()).spend(context.clock().getAsLong());
    if (!spent) {
      context.metrics().onDeniedRetry(reason);
    }
    return spent;
  }

  @Override
  public void onWritabilityChanged(Attempt attempt) {
    limits.onProgress(context.clock().getAsLong());
    updateRequestReading();
  }

  /** Answers with an error. What an earlier attempt may have run is never called not run. */
  private void answer(ErrorKind kind, long retryAfterMs) {
    if (ended) {
      return;
    }
    if (fallback.isPresent()) {
      answerFallback(fallback.get());
      return;
    }
    ErrorKind honest =
        kind.run() == ErrorKind.Run.NO ? uncertain.map(AttemptFailure::kind).orElse(kind) : kind;
    boolean unrun = honest.run() == ErrorKind.Run.NO;
    settle(unrun ? ClaimSettlement.Result.DID_NOT_RUN : ClaimSettlement.Result.UNKNOWN);
    finish(honest.code());
    caller.answerError(honest, retryAfterMs, callerLeftMs());
  }

  /** Returns how long the caller will still wait, if it has stated it. */
  private Optional<Long> callerLeftMs() {
    if (mark.deadlineMs().isEmpty()) {
      return Optional.empty();
    }
    long passedMs = (context.clock().getAsLong() - limits.startNanos()) / NANOS_PER_MS;
    return Optional.of(Math.max(0, mark.deadlineMs().getAsLong() - passedMs));
  }

  private void cut() {
    context.metrics().onCutAnswer();
    settle(ClaimSettlement.Result.UNKNOWN);
    finish("cut");
    caller.cut();
  }

  private void settle(ClaimSettlement.Result result) {
    claim.ifPresent(each -> each.settle(result));
  }

  private void cancelAll(Outcome why) {
    active.forEach(each -> note(each, "given-up-" + why.name().toLowerCase(Locale.ROOT)));
    active.forEach(each -> each.cancel(why));
    active.clear();
  }

  private void note(Attempt attempt, String result) {
    long start = limits.startNanos();
    notes.add(
        new RequestLog.AttemptNote(
            attempt.target(),
            attempt.basis(),
            (attempt.sentNanos() - start) / NANOS_PER_MS,
            (context.clock().getAsLong() - start) / NANOS_PER_MS,
            result));
  }

  private void finish(String result) {
    long now = context.clock().getAsLong();
    context.metrics().onEnded(terms.route(), result, now - limits.startNanos());
    context
        .requestLog()
        .ended(
            now,
            new RequestLog.Ended(
                requestId,
                terms,
                List.copyOf(notes),
                result,
                now - limits.startNanos(),
                limits.headDeadlineNanos() - now));
    // Does nothing if the outcome has been reported.
    settle(ClaimSettlement.Result.UNKNOWN);
    ended = true;
    close();
  }

  @Override
  public void close() {
    body.close();
    fallback.ifPresent(HeldAnswer::close);
    caller.exchanges().remove(this);
  }
}
