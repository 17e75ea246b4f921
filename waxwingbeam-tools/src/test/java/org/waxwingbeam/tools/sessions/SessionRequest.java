package org.waxwingbeam.tools.sessions;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.waxwingbeam.caller.AttemptFailure;
import org.waxwingbeam.caller.Classification;
import org.waxwingbeam.caller.PoisonRequestDetector.Fingerprint;
import org.waxwingbeam.caller.RequestClassifier;
import org.waxwingbeam.caller.RequestDigest;
import org.waxwingbeam.caller.RetryPolicy;
import org.waxwingbeam.caller.RetryReason;
import org.waxwingbeam.caller.RoutePolicy;
import org.waxwingbeam.control.ClaimCodec;
import org.waxwingbeam.control.ClaimOutcome;
import org.waxwingbeam.control.ClaimRequest;
import org.waxwingbeam.control.ClaimResponse;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;

/** One request on its way through an entry instance. */
final class SessionRequest {
  private static final long NANOS_PER_MS = 1_000_000;
  private static final long CLAIM_TIMEOUT_MS = 500;

  private final SessionWorld world;
  private final SessionEntry entry;
  private final String caller;
  private final String method;
  private final String host;
  private final String path;
  private final Optional<String> key;
  private final byte[] content;
  private final Set<TargetId> used = new HashSet<>();
  private final long number;
  private RoutePolicy terms;
  private long attemptId;
  private int attempts;

  SessionRequest(SessionWorld world, SessionEntry entry, long number, SessionLine line) {
    this.world = world;
    this.entry = entry;
    this.number = number;
    caller = line.word(1);
    method = line.word(3);
    int slash = line.word(4).indexOf('/');
    host = line.word(4).substring(0, slash);
    path = line.word(4).substring(slash);
    key = Optional.ofNullable(line.options().get("key"));
    content = line.option("body", "").getBytes(UTF_8);
  }

  /** Takes the request in. */
  void arrive() {
    Optional<ErrorKind> refusal = entry.refusal();
    if (refusal.isPresent()) {
      refuse(refusal.get());
      return;
    }
    var classifier = new RequestClassifier(entry.applied().current());
    switch (classifier.classify(method, host, path)) {
      case Classification.Refused refused -> refuse(refused.kind());
      case Classification.Accepted accepted -> {
        terms = accepted.policy();
        admit();
      }
    }
  }

  private void admit() {
    if (entry.poison().isPoison(world.clock().nowNanos(), fingerprint().requestDigest())) {
      refuse(ErrorKind.POISON_REQUEST);
    } else if (key.isPresent() && !terms.idempotent()) {
      claim();
    } else {
      send();
    }
  }

  private void claim() {
    ClaimRequest claim =
        new ClaimRequest(
            terms.account(),
            key.orElseThrow(),
            RequestDigest.ofRequest(method, path, body()),
            entry.name(),
            number,
            terms.value(Parameter.CLAIM_RETENTION),
            terms.value(Parameter.DEADLINE),
            CLAIM_TIMEOUT_MS);
    ClaimResponse answer =
        world
            .claim(entry, ClaimCodec.encode(claim))
            .map(ClaimCodec::decodeClaimReply)
            .orElseGet(ClaimResponse.Unavailable::new);
    switch (answer) {
      case ClaimResponse.Granted granted -> send();
      case ClaimResponse.Recorded recorded -> response("the recorded answer");
      case ClaimResponse.AlreadyRunning running -> refuse(ErrorKind.ALREADY_RUNNING);
      case ClaimResponse.AlreadyRun ran -> refuse(ErrorKind.ALREADY_RUN);
      case ClaimResponse.OutcomeUnknown unknown -> refuse(ErrorKind.OUTCOME_UNKNOWN);
      case ClaimResponse.KeyReused reused -> refuse(ErrorKind.KEY_REUSED);
      case ClaimResponse.Unavailable unavailable -> refuse(ErrorKind.NO_CLAIM);
    }
  }

  private void send() {
    attemptId = world.nextAttempt(this);
    long deadline = world.clock().nowNanos() + terms.value(Parameter.DEADLINE) * NANOS_PER_MS;
    DispatchRequest request =
        new DispatchRequest(
            attemptId,
            terms.service(),
            terms.account(),
            terms.route(),
            terms.idempotent(),
            (int) terms.value(Parameter.SHED_RANK),
            (int) terms.value(Parameter.QUEUE_LIMIT),
            deadline,
            deadline,
            false,
            Set.copyOf(used));
    decided(entry.dispatcher().request(world.clock().nowNanos(), request));
  }

  /** Takes a decision of the dispatcher on the present attempt. */
  void decided(Decision decision) {
    switch (decision) {
      case Decision.Assigned assigned -> run(assigned.target());
      case Decision.Queued queued ->
          world.print("caller %s waits at %s".formatted(caller, entry.name()));
      case Decision.Refused refused -> {
        settle(ClaimOutcome.Result.DID_NOT_RUN);
        refuse(refused.kind());
      }
    }
  }

  private void run(TargetId id) {
    used.add(id);
    attempts++;
    SessionTarget target = world.target(id);
    AttemptOutcome outcome = target.outcome();
    long sentNanos = world.clock().nowNanos();
    world.print(
        "target %s runs %s %s of %s: %s".formatted(target.name(), method, path, caller, outcome));
    world.clock().after(target.takesMs(), () -> ended(target, outcome, sentNanos));
  }

  private void ended(SessionTarget target, AttemptOutcome outcome, long sentNanos) {
    long now = world.clock().nowNanos();
    TargetId id = target.announcement().target();
    Completion completion =
        new Completion(attemptId, id, outcome, now - sentNanos, Optional.empty());
    List<Decision> released = entry.dispatcher().complete(now, completion);
    react(target, outcome, sentNanos);
    world.handOn(released);
  }

  private void react(SessionTarget target, AttemptOutcome outcome, long sentNanos) {
    if (outcome == AttemptOutcome.SUCCESS || outcome == AttemptOutcome.FAILURE) {
      entry.budget().onSuccess(terms.value(Parameter.RETRY_BUDGET));
      entry.poison().onResponse(fingerprint().requestDigest());
      settle(ClaimOutcome.Result.RAN);
      response(
          "%s from %s".formatted(outcome == AttemptOutcome.SUCCESS ? "200" : "500", target.name()));
      return;
    }
    if (outcome == AttemptOutcome.CONNECTION_LOST) {
      noteLoss(target, sentNanos);
    }
    failed(retryReason(outcome));
  }

  private static RetryReason retryReason(AttemptOutcome outcome) {
    return switch (outcome) {
      case REFUSED_OVERLOADED -> RetryReason.REFUSED_OVERLOADED;
      case REFUSED_COLD -> RetryReason.REFUSED_COLD;
      case REFUSED_DRAINING -> RetryReason.REFUSED_DRAINING;
      case REFUSED_WRONG_TARGET -> RetryReason.REFUSED_WRONG_TARGET;
      case CONNECT_FAILED -> RetryReason.CONNECT_FAILED;
      case CONNECTION_LOST -> RetryReason.CONNECTION_LOST;
      case SUCCESS, FAILURE, TIMED_OUT, CANCELLED ->
          throw new IllegalArgumentException("not a cause of retries: " + outcome);
    };
  }

  private void noteLoss(SessionTarget target, long sentNanos) {
    long now = world.clock().nowNanos();
    TargetId id = target.announcement().target();
    long retentionMs = terms.value(Parameter.POISON_RETENTION);
    entry.poison().onConnectionLost(now, fingerprint(), id, sentNanos, retentionMs);
    world.sharePoison(entry);
  }

  private void failed(RetryReason reason) {
    AttemptFailure failure = AttemptFailure.of(reason);
    var progress =
        new RetryPolicy.RequestProgress(
            terms.idempotent(),
            attempts,
            (int) terms.value(Parameter.MAX_ATTEMPTS),
            false,
            true,
            false);
    boolean poisoned =
        entry.poison().isPoison(world.clock().nowNanos(), fingerprint().requestDigest());
    if (!poisoned
        && RetryPolicy.mayRetry(failure, progress)
        && entry.budget().tryAcquire(world.clock().nowNanos())) {
      world.print("entry %s retries %s: %s".formatted(entry.name(), caller, reason.code()));
      send();
      return;
    }
    settle(failure.mayHaveRun() ? ClaimOutcome.Result.UNKNOWN : ClaimOutcome.Result.DID_NOT_RUN);
    refuse(failure.kind());
  }

  private void settle(ClaimOutcome.Result result) {
    if (key.isPresent() && !terms.idempotent()) {
      ClaimOutcome settlement =
          new ClaimOutcome(
              terms.account(), key.get(), entry.name(), number, result, Optional.empty());
      boolean noted =
          world
              .claim(entry, ClaimCodec.encode(settlement))
              .filter(ClaimCodec::decodeOutcomeReply)
              .isPresent();
      if (!noted) {
        world.print(
            "entry %s could not record %s of key %s".formatted(entry.name(), result, key.get()));
      }
    }
  }

  private List<ByteBuffer> body() {
    return List.of(ByteBuffer.wrap(content));
  }

  private Fingerprint fingerprint() {
    return RequestDigest.fingerprint(terms.account(), method, path, body());
  }

  private void response(String what) {
    world.print("caller %s gets %s through %s".formatted(caller, what, entry.name()));
  }

  private void refuse(ErrorKind kind) {
    world.print(
        "caller %s gets %d %s run=%s retry=%s from %s"
            .formatted(
                caller,
                kind.status(),
                kind.code(),
                kind.run().code(),
                kind.retryAdvice().code(),
                entry.name()));
  }
}
