package org.waxwingbeam.caller.net;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.function.Consumer;
import org.waxwingbeam.caller.RequestDigest;
import org.waxwingbeam.caller.RoutePolicy;
import org.waxwingbeam.control.ClaimOutcome;
import org.waxwingbeam.control.ClaimRequest;
import org.waxwingbeam.control.ClaimResponse;
import org.waxwingbeam.control.RecordedResponse;
import org.waxwingbeam.model.Parameter;

/**
 * The claim of one request's idempotency key: it is claimed before the request goes out, and its
 * outcome is reported once. All methods run on the caller's event loop.
 */
final class IdempotencyClaim {
  /** Longest time to wait for the control log, in milliseconds. */
  static final long CLAIM_TIMEOUT_MS = 2_000;

  /** Time that a request may run beyond its deadline before its outcome counts as lost. */
  private static final long RUNNING_MARGIN_MS = 10_000;

  private final ExchangeContext context;
  private final RoutePolicy terms;
  private final String key;
  private final long attempt;

  private Optional<HttpResponse> head = Optional.empty();
  private ByteString kept = ByteString.EMPTY;
  private boolean keeping;
  private boolean granted;
  private boolean settled;

  IdempotencyClaim(ExchangeContext context, RoutePolicy terms, String key) {
    this.context = context;
    this.terms = terms;
    this.key = key;
    this.attempt = context.ids().nextAttempt();
  }

  /** Claims the key for a request whose body is whole. */
  void claim(
      HttpRequest request,
      RequestBody body,
      long leftMs,
      EventLoop loop,
      Consumer<ClaimResponse> receiver) {
    String digest = RequestDigest.ofRequest(request.method().name(), request.uri(), body.buffers());
    ClaimRequest claim =
        new ClaimRequest(
            terms.account(),
            key,
            digest,
            context.instance(),
            attempt,
            terms.value(Parameter.CLAIM_RETENTION),
            leftMs + RUNNING_MARGIN_MS,
            Math.min(leftMs, CLAIM_TIMEOUT_MS));
    context.claims().claim(claim, answer -> loop.execute(() -> onResponse(answer, receiver)));
  }

  private void onResponse(ClaimResponse answer, Consumer<ClaimResponse> receiver) {
    boolean mayBeHeld =
        answer instanceof ClaimResponse.Granted || answer instanceof ClaimResponse.Unavailable;
    if (settled) {
      // The exchange ended before the claim was answered; nothing was sent.
      if (mayBeHeld) {
        send(ClaimOutcome.Result.DID_NOT_RUN, Optional.empty());
      }
      return;
    }
    granted = mayBeHeld;
    receiver.accept(answer);
  }

  /** Notes the head of the answer, so that a short answer is kept. */
  void onHead(HttpResponse answer) {
    head = Optional.of(answer);
    keeping = true;
  }

  /** Notes a part of the answer's body. */
  void onContent(ByteBuf content) {
    long size = (long) kept.size() + content.readableBytes();
    keeping &= size <= terms.value(Parameter.RECORDED_ANSWER_LIMIT);
    kept = keeping ? kept.concat(ByteString.copyFrom(content.nioBuffer())) : ByteString.EMPTY;
  }

  /** Reports how the request ended. Later reports are ignored. */
  void reportOutcome(ClaimOutcome.Result result) {
    if (settled) {
      return;
    }
    settled = true;
    if (granted) {
      boolean keep = result == ClaimOutcome.Result.RAN && keeping;
      send(result, head.filter(any -> keep).map(this::recorded));
    }
  }

  private RecordedResponse recorded(HttpResponse answer) {
    String type = answer.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
    return new RecordedResponse(answer.status().code(), type, kept);
  }

  private void send(ClaimOutcome.Result result, Optional<RecordedResponse> answer) {
    ClaimOutcome settlement =
        new ClaimOutcome(terms.account(), key, context.instance(), attempt, result, answer);
    context.claims().recordOutcome(settlement, held -> {});
  }
}
