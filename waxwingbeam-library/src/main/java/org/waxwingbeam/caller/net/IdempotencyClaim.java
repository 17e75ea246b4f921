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
 * The claim of one request's idempotency key. The key is claimed before the request is sent, and
 * the outcome of the request is reported once. All methods run on the event loop of the caller's
 * connection.
 */
final class IdempotencyClaim {
  /** Maximum time to wait for the control log, in milliseconds. */
  static final long CLAIM_TIMEOUT_MS = 2_000;

  /** Time after a request's deadline until an unreported outcome is treated as lost. */
  private static final long RUNNING_MARGIN_MS = 10_000;

  private final ExchangeContext context;
  private final RoutePolicy policy;
  private final String key;
  private final long attempt;

  private Optional<HttpResponse> head = Optional.empty();
  private ByteString recordedBody = ByteString.EMPTY;
  private boolean recording;
  private boolean keyMayBeClaimed;
  private boolean outcomeReported;

  IdempotencyClaim(ExchangeContext context, RoutePolicy policy, String key) {
    this.context = context;
    this.policy = policy;
    this.key = key;
    this.attempt = context.ids().nextAttempt();
  }

  /** Claims the key for a request whose body has arrived completely. */
  void claim(
      HttpRequest request,
      RequestBody body,
      long leftMs,
      EventLoop loop,
      Consumer<ClaimResponse> receiver) {
    String digest = RequestDigest.ofRequest(request.method().name(), request.uri(), body.buffers());
    ClaimRequest claim =
        new ClaimRequest(
            policy.account(),
            key,
            digest,
            context.instance(),
            attempt,
            policy.value(Parameter.CLAIM_RETENTION),
            leftMs + RUNNING_MARGIN_MS,
            Math.min(leftMs, CLAIM_TIMEOUT_MS));
    context.claims().claim(claim, response -> loop.execute(() -> onResponse(response, receiver)));
  }

  private void onResponse(ClaimResponse response, Consumer<ClaimResponse> receiver) {
    boolean mayHoldClaim =
        response instanceof ClaimResponse.Granted || response instanceof ClaimResponse.Unavailable;
    if (outcomeReported) {
      // The exchange ended while the claim was pending; the request was not sent.
      if (mayHoldClaim) {
        sendOutcome(ClaimOutcome.Result.DID_NOT_RUN, Optional.empty());
      }
      return;
    }
    // The control log may have recorded the claim although its response did not arrive.
    keyMayBeClaimed = mayHoldClaim;
    receiver.accept(response);
  }

  /** Records the head of the response, so that a short response can be recorded for replay. */
  void onHead(HttpResponse response) {
    head = Optional.of(response);
    recording = true;
  }

  /** Records a part of the response body, up to the limit for recorded responses. */
  void onContent(ByteBuf content) {
    long size = (long) recordedBody.size() + content.readableBytes();
    recording &= size <= policy.value(Parameter.RECORDED_ANSWER_LIMIT);
    recordedBody =
        recording
            ? recordedBody.concat(ByteString.copyFrom(content.nioBuffer()))
            : ByteString.EMPTY;
  }

  /** Reports the outcome of the request. Later calls have no effect. */
  void reportOutcome(ClaimOutcome.Result result) {
    if (outcomeReported) {
      return;
    }
    outcomeReported = true;
    if (keyMayBeClaimed) {
      boolean keep = result == ClaimOutcome.Result.RAN && recording;
      sendOutcome(result, head.filter(any -> keep).map(this::toRecordedResponse));
    }
  }

  private RecordedResponse toRecordedResponse(HttpResponse response) {
    String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
    return new RecordedResponse(response.status().code(), type, recordedBody);
  }

  private void sendOutcome(ClaimOutcome.Result result, Optional<RecordedResponse> response) {
    ClaimOutcome outcome =
        new ClaimOutcome(policy.account(), key, context.instance(), attempt, result, response);
    context.claims().recordOutcome(outcome, recorded -> {});
  }
}
