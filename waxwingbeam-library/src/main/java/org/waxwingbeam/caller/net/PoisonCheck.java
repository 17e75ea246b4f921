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

/** Checks one request against the requests that have crashed targets. */
final class PoisonCheck {
  private final ExchangeContext context;
  private final RoutePolicy terms;
  private final HttpRequest head;
  private final RequestBody body;
  private Optional<PoisonRequestDetector.Fingerprint> known = Optional.empty();

  PoisonCheck(ExchangeContext context, RoutePolicy terms, HttpRequest head, RequestBody body) {
    this.context = context;
    this.terms = terms;
    this.head = head;
    this.body = body;
  }

  /** Returns whether the body decides if the request may be sent. */
  boolean needsBody() {
    return !context.poison().isEmpty()
        && context
            .poison()
            .mayContain(RequestDigest.ofPath(terms.account(), head.method().name(), head.uri()));
  }

  /** Returns whether the request, as far as it has arrived, has crashed targets. */
  boolean isPoison() {
    return needsBody()
        && context.poison().isPoison(context.clock().getAsLong(), fingerprint().requestDigest());
  }

  /** Notes the failure of an attempt whose connection may have died of the request. */
  void onFailed(TargetAttempt attempt, AttemptFailure failure) {
    boolean died =
        failure.reason() == RetryReason.CONNECTION_LOST
            || failure.reason() == RetryReason.STALE_CONNECTION;
    if (died && attempt.target().isPresent()) {
      context
          .poison()
          .onConnectionLost(
              context.clock().getAsLong(),
              fingerprint(),
              attempt.target().get(),
              attempt.sentNanos(),
              terms.value(Parameter.POISON_RETENTION));
    }
  }

  /** Notes that the request was answered whole. */
  void onResponse() {
    if (needsBody()) {
      context.poison().onResponse(fingerprint().requestDigest());
    }
  }

  /** Returns the body, or its stated length alone if it is too long to be kept. */
  private List<ByteBuffer> identifyingBody() {
    if (!body.exceedsKeptLimit()) {
      return body.buffers();
    }
    String length = "length " + RequestFraming.bodyLength(head);
    return List.of(ByteBuffer.wrap(length.getBytes(US_ASCII)));
  }

  private PoisonRequestDetector.Fingerprint fingerprint() {
    if (known.isEmpty() || !body.isWhole()) {
      known =
          Optional.of(
              RequestDigest.fingerprint(
                  terms.account(), head.method().name(), head.uri(), identifyingBody()));
    }
    return known.get();
  }
}
