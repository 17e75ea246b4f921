package org.waxwingbeam.caller.net;

import static java.nio.charset.StandardCharsets.US_ASCII;

import io.netty.handler.codec.http.HttpRequest;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.waxwingbeam.caller.AttemptFailure;
import org.waxwingbeam.caller.PoisonRequestDetector;
import org.waxwingbeam.caller.RequestDigest;
import org.waxwingbeam.caller.RetryReason;
import org.waxwingbeam.caller.RoutePolicy;
import org.waxwingbeam.model.Parameter;

/** Checks whether a request is known to crash targets, and records crashes during the request. */
final class PoisonCheck {
  private final ExchangeContext context;
  private final RoutePolicy policy;
  private final HttpRequest head;
  private final RequestBody body;
  private Optional<PoisonRequestDetector.Fingerprint> fingerprint = Optional.empty();

  PoisonCheck(ExchangeContext context, RoutePolicy policy, HttpRequest head, RequestBody body) {
    this.context = context;
    this.policy = policy;
    this.head = head;
    this.body = body;
  }

  /** Returns whether the body must be checked because a suspected request has the same path. */
  boolean needsBody() {
    return !context.poison().isEmpty()
        && context
            .poison()
            .mayContain(RequestDigest.ofPath(policy.account(), head.method().name(), head.uri()));
  }

  /** Returns whether the request, as far as it has arrived, is a poison request. */
  boolean isPoison() {
    return needsBody()
        && context.poison().isPoison(context.clock().getAsLong(), fingerprint().requestDigest());
  }

  /** Records a failed attempt, if the request may have crashed the target. */
  void onFailed(TargetAttempt attempt, AttemptFailure failure) {
    boolean connectionLost =
        failure.reason() == RetryReason.CONNECTION_LOST
            || failure.reason() == RetryReason.STALE_CONNECTION;
    if (connectionLost && attempt.target().isPresent()) {
      context
          .poison()
          .onConnectionLost(
              context.clock().getAsLong(),
              fingerprint(),
              attempt.target().get(),
              attempt.sentNanos(),
              policy.value(Parameter.POISON_RETENTION));
    }
  }

  /** Records that the request got a complete response. */
  void onResponse() {
    if (needsBody()) {
      context.poison().onResponse(fingerprint().requestDigest());
    }
  }

  /** Returns the body, or only its stated length if the body is too long to be buffered. */
  private List<ByteBuffer> identifyingBody() {
    if (!body.exceedsBufferLimit()) {
      return body.buffers();
    }
    String length = "length " + RequestFraming.bodyLength(head);
    return List.of(ByteBuffer.wrap(length.getBytes(US_ASCII)));
  }

  private PoisonRequestDetector.Fingerprint fingerprint() {
    if (fingerprint.isEmpty() || !body.isComplete()) {
      fingerprint =
          Optional.of(
              RequestDigest.fingerprint(
                  policy.account(), head.method().name(), head.uri(), identifyingBody()));
    }
    return fingerprint.get();
  }
}
