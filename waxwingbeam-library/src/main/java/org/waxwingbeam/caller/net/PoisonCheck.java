package org.waxwingbeam.caller.net;

import static java.nio.charset.StandardCharsets.US_ASCII;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.waxwingbeam.caller.AttemptFailure;
import org.waxwingbeam.caller.PoisonRequestDetector;
import org.waxwingbeam.caller.RequestDigest;
import org.waxwingbeam.caller.RetryReason;
import org.waxwingbeam.caller.RoutePolicy;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.TargetId;

/**
 * Checks whether a request is known to crash targets, and records crashes during the request. A
 * lost connection counts only once its target turns out not to have lived on.
 */
final class PoisonCheck {
  private final ExchangeContext context;
  private final RoutePolicy policy;
  private final HttpRequest head;
  private final RequestBody body;
  private final EventLoop loop;
  // Losses are recorded in their order, so that a later one does not hide an earlier one.
  private final Deque<Loss> unresolved = new ArrayDeque<>(2);
  private Optional<Runnable> waiting = Optional.empty();
  private Optional<PoisonRequestDetector.Fingerprint> fingerprint = Optional.empty();

  PoisonCheck(
      ExchangeContext context,
      RoutePolicy policy,
      HttpRequest head,
      RequestBody body,
      EventLoop loop) {
    this.context = context;
    this.loop = loop;
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

  /**
   * Calls a task as soon as {@link #isPoison} no longer depends on targets that are being checked.
   * At most one task waits.
   */
  void whenDecided(Runnable task) {
    boolean depends =
        !unresolved.isEmpty()
            && context
                .poison()
                .mayBecomePoison(context.clock().getAsLong(), fingerprint().requestDigest());
    if (depends) {
      waiting = Optional.of(task);
    } else {
      task.run();
    }
  }

  /** Records a failed attempt, if the request may have crashed the target. */
  void onFailed(TargetAttempt attempt, AttemptFailure failure) {
    boolean connectionLost =
        failure.reason() == RetryReason.CONNECTION_LOST
            || failure.reason() == RetryReason.STALE_CONNECTION;
    if (connectionLost && attempt.target().isPresent()) {
      checkTarget(
          new Loss(
              fingerprint(),
              attempt.target().get(),
              attempt.sentNanos(),
              context.clock().getAsLong()));
    }
  }

  private void checkTarget(Loss loss) {
    unresolved.add(loss);
    context.poison().onCheckStarted(loss.fingerprint.requestDigest());
    int limit = (int) policy.value(Parameter.CONNECTION_LIMIT);
    context
        .connections()
        .checkAlive(
            loss.target,
            context.connectionLimit().applyAsInt(limit),
            loop,
            alive -> onChecked(loss, alive));
  }

  private void onChecked(Loss loss, boolean alive) {
    loss.alive = Optional.of(alive);
    context.poison().onCheckEnded(loss.fingerprint.requestDigest());
    while (!unresolved.isEmpty() && unresolved.peekFirst().alive.isPresent()) {
      Loss first = unresolved.removeFirst();
      if (!first.alive.get()) {
        recordCrash(first);
      }
    }
    if (unresolved.isEmpty()) {
      Optional<Runnable> task = waiting;
      waiting = Optional.empty();
      task.ifPresent(Runnable::run);
    }
  }

  private void recordCrash(Loss loss) {
    context
        .poison()
        .onConnectionLost(
            loss.lossNanos,
            loss.fingerprint,
            loss.target,
            loss.sentNanos,
            policy.value(Parameter.POISON_RETENTION));
  }

  /** Records that the request got a complete response. */
  void onResponse() {
    unresolved.clear();
    if (needsBody()) {
      context.poison().onResponse(fingerprint().requestDigest());
    }
  }

  /** Returns the body, or its beginning and stated length if it is too long to be buffered. */
  private List<ByteBuffer> identifyingBody() {
    if (body.prefixDigest().isEmpty()) {
      return body.buffers();
    }
    String text =
        "length %d %s".formatted(RequestFraming.bodyLength(head), body.prefixDigest().get());
    return List.of(ByteBuffer.wrap(text.getBytes(US_ASCII)));
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

  /** A connection that was lost while its target ran the request. */
  private static final class Loss {
    private final PoisonRequestDetector.Fingerprint fingerprint;
    private final TargetId target;
    private final long sentNanos;
    private final long lossNanos;
    // Empty until the target has been checked.
    private Optional<Boolean> alive = Optional.empty();

    Loss(
        PoisonRequestDetector.Fingerprint fingerprint,
        TargetId target,
        long sentNanos,
        long lossNanos) {
      this.fingerprint = fingerprint;
      this.target = target;
      this.sentNanos = sentNanos;
      this.lossNanos = lossNanos;
    }
  }
}
