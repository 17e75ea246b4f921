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

/** One request, from its arrival at an entry instance to its response. */
final class SessionRequest {
  private static final long NANOS_PER_MS = 1_000_000;
  private static final long CLAIM_TIMEOUT_MS = 500;

  private final SessionSystem system;
  private final SessionEntry entry;
  private final String caller;
  private final String method;
  private final String host;
  private final String path;
  private final Optional<String> key;
  private final byte[] content;
  private final Set<TargetId> usedTargets = new HashSet<>();
  private final long number;
  private RoutePolicy policy;
  private long attemptId;
  private int attempts;

  SessionRequest(SessionSystem system, SessionEntry entry, long number, SessionLine line) {
    this.system = system;
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

  /** Classifies the request and admits or refuses it. */
  void arrive() {
    Optional<ErrorKind> refusal = entry.refusal();
    if (refusal.isPresent()) {
      printRefusal(refusal.get());
      return;
    }
    var classifier = new RequestClassifier(entry.applied().current());
    switch (classifier.classify(method, host, path)) {
      case Classification.Refused refused -> printRefusal(refused.kind());
      case Classification.Accepted accepted -> {
        policy = accepted.policy();
        admit();
      }
    }
  }

  private void admit() {
    if (entry.poison().isPoison(system.clock().nowNanos(), fingerprint().requestDigest())) {
      printRefusal(ErrorKind.POISON_REQUEST);
    } else if (key.isPresent() && !policy.idempotent()) {
      claim();
    } else {
      send();
    }
  }

  private void claim() {
    ClaimRequest claim =
        new ClaimRequest(
            policy.account(),
            key.orElseThrow(),
            RequestDigest.ofRequest(method, path, body()),
            entry.name(),
            number,
            policy.value(Parameter.CLAIM_RETENTION),
            policy.value(Parameter.DEADLINE),
            CLAIM_TIMEOUT_MS);
    ClaimResponse response =
        system
            .sendClaimCommand(entry, ClaimCodec.encode(claim))
            .map(ClaimCodec::decodeClaimReply)
            .orElseGet(ClaimResponse.Unavailable::new);
    switch (response) {
      case ClaimResponse.Granted granted -> send();
      case ClaimResponse.Recorded recorded -> printResponse("the recorded answer");
      case ClaimResponse.AlreadyRunning running -> printRefusal(ErrorKind.ALREADY_RUNNING);
      case ClaimResponse.AlreadyRun ran -> printRefusal(ErrorKind.ALREADY_RUN);
      case ClaimResponse.OutcomeUnknown unknown -> printRefusal(ErrorKind.OUTCOME_UNKNOWN);
      case ClaimResponse.KeyReused reused -> printRefusal(ErrorKind.KEY_REUSED);
      case ClaimResponse.Unavailable unavailable -> printRefusal(ErrorKind.NO_CLAIM);
    }
  }

  private void send() {
    attemptId = system.nextAttempt(this);
    long deadline = system.clock().nowNanos() + policy.value(Parameter.DEADLINE) * NANOS_PER_MS;
    DispatchRequest request =
        new DispatchRequest(
            attemptId,
            policy.service(),
            policy.account(),
            policy.route(),
            policy.idempotent(),
            (int) policy.value(Parameter.SHED_RANK),
            (int) policy.value(Parameter.QUEUE_LIMIT),
            deadline,
            deadline,
            false,
            Set.copyOf(usedTargets));
    onDecision(entry.dispatcher().request(system.clock().nowNanos(), request));
  }

  /** Handles the dispatcher's decision on the current attempt. */
  void onDecision(Decision decision) {
    switch (decision) {
      case Decision.Assigned assigned -> runAt(assigned.target());
      case Decision.Queued queued ->
          system.print("caller %s waits at %s".formatted(caller, entry.name()));
      case Decision.Refused refused -> {
        recordOutcome(ClaimOutcome.Result.DID_NOT_RUN);
        printRefusal(refused.kind());
      }
    }
  }

  private void runAt(TargetId id) {
    usedTargets.add(id);
    attempts++;
    SessionTarget target = system.target(id);
    AttemptOutcome outcome = target.outcome();
    long sentNanos = system.clock().nowNanos();
    system.print(
        "target %s runs %s %s of %s: %s".formatted(target.name(), method, path, caller, outcome));
    system
        .clock()
        .scheduleAfter(target.responseMs(), () -> onAttemptEnd(target, outcome, sentNanos));
  }

  private void onAttemptEnd(SessionTarget target, AttemptOutcome outcome, long sentNanos) {
    long now = system.clock().nowNanos();
    TargetId id = target.announcement().target();
    Completion completion =
        new Completion(attemptId, id, outcome, now - sentNanos, Optional.empty());
    List<Decision> laterDecisions = entry.dispatcher().complete(now, completion);
    handleOutcome(target, outcome, sentNanos);
    system.deliverDecisions(laterDecisions);
  }

  private void handleOutcome(SessionTarget target, AttemptOutcome outcome, long sentNanos) {
    if (outcome == AttemptOutcome.SUCCESS || outcome == AttemptOutcome.FAILURE) {
      entry.budget().onSuccess(policy.value(Parameter.RETRY_BUDGET));
      entry.poison().onResponse(fingerprint().requestDigest());
      recordOutcome(ClaimOutcome.Result.RAN);
      printResponse(
          "%s from %s".formatted(outcome == AttemptOutcome.SUCCESS ? "200" : "500", target.name()));
      return;
    }
    if (outcome == AttemptOutcome.CONNECTION_LOST) {
      recordConnectionLoss(target, sentNanos);
    }
    retryOrRefuse(retryReason(outcome));
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
          throw new IllegalArgumentException("outcome is not a reason to retry: " + outcome);
    };
  }

  private void recordConnectionLoss(SessionTarget target, long sentNanos) {
    long now = system.clock().nowNanos();
    TargetId id = target.announcement().target();
    long retentionMs = policy.value(Parameter.POISON_RETENTION);
    entry.poison().onConnectionLost(now, fingerprint(), id, sentNanos, retentionMs);
    system.shareCrashRecords(entry);
  }

  private void retryOrRefuse(RetryReason reason) {
    AttemptFailure failure = AttemptFailure.of(reason);
    var progress =
        new RetryPolicy.RequestProgress(
            policy.idempotent(),
            attempts,
            (int) policy.value(Parameter.MAX_ATTEMPTS),
            false,
            true,
            false);
    boolean poisoned =
        entry.poison().isPoison(system.clock().nowNanos(), fingerprint().requestDigest());
    if (!poisoned
        && RetryPolicy.mayRetry(failure, progress)
        && entry.budget().tryAcquire(system.clock().nowNanos())) {
      system.print("entry %s retries %s: %s".formatted(entry.name(), caller, reason.code()));
      send();
      return;
    }
    recordOutcome(
        failure.mayHaveRun() ? ClaimOutcome.Result.UNKNOWN : ClaimOutcome.Result.DID_NOT_RUN);
    printRefusal(failure.kind());
  }

  private void recordOutcome(ClaimOutcome.Result result) {
    if (key.isPresent() && !policy.idempotent()) {
      ClaimOutcome outcome =
          new ClaimOutcome(
              policy.account(), key.get(), entry.name(), number, result, Optional.empty());
      boolean recorded =
          system
              .sendClaimCommand(entry, ClaimCodec.encode(outcome))
              .filter(ClaimCodec::decodeOutcomeReply)
              .isPresent();
      if (!recorded) {
        system.print(
            "entry %s could not record %s of key %s".formatted(entry.name(), result, key.get()));
      }
    }
  }

  private List<ByteBuffer> body() {
    return List.of(ByteBuffer.wrap(content));
  }

  private Fingerprint fingerprint() {
    return RequestDigest.fingerprint(policy.account(), method, path, body());
  }

  private void printResponse(String what) {
    system.print("caller %s gets %s through %s".formatted(caller, what, entry.name()));
  }

  private void printRefusal(ErrorKind kind) {
    system.print(
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
