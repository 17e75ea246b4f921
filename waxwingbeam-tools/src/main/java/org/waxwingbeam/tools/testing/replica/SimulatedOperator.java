package org.waxwingbeam.tools.testing.replica;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.waxwingbeam.replica.CommandResult;
import org.waxwingbeam.replica.ProposalOutcome;
import org.waxwingbeam.wire.operator.Change;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.ProposedChange;

/**
 * A simulated operator who proposes changes concurrently with others, and sends a change again to
 * random replicas until a response arrives. Some responses are lost.
 */
final class SimulatedOperator {
  private static final int LOST_RESPONSE_PERCENT = 20;
  private static final int RESENT_AFTER_RESPONSE_PERCENT = 20;
  private static final int RESEND_MS = 700;

  private final String name;
  private final RandomGenerator random;
  private final ReplicaInvariants invariants;
  private int changes;
  private long knownNumber;
  private Optional<Attempt> current = Optional.empty();
  private Optional<Attempt> respondedBefore = Optional.empty();
  private long nextSendMs;
  private int conflicts;
  private int resends;

  private record Attempt(ChangeRequest request, long floor) {}

  SimulatedOperator(String name, RandomGenerator random, ReplicaInvariants invariants) {
    this.name = name;
    this.random = random;
    this.invariants = invariants;
  }

  int conflicts() {
    return conflicts;
  }

  int resends() {
    return resends;
  }

  boolean isWaiting() {
    return current.isPresent();
  }

  /**
   * Starts a new change if none is pending, or sends the pending change again; sometimes also sends
   * the last completed change again.
   */
  void step(long nowMs, List<SimulatedReplica> replicas, boolean mayBegin) {
    if (nowMs < nextSendMs || (current.isEmpty() && !mayBegin)) {
      return;
    }
    nextSendMs = nowMs + random.nextInt(RESEND_MS);
    if (current.isEmpty()) {
      begin();
    } else {
      resends++;
    }
    send(nowMs, replicas, current.orElseThrow());
    if (random.nextInt(100) < RESENT_AFTER_RESPONSE_PERCENT) {
      respondedBefore.ifPresent(attempt -> send(nowMs, replicas, attempt));
    }
  }

  private void begin() {
    changes++;
    ChangeRequest request =
        ChangeRequest.newBuilder()
            .setChangeId("%s-%d".formatted(name, changes))
            .setBasedOn(knownNumber)
            .setOperator(name)
            .setChange(
                Change.newBuilder().setTakeDataCentreOut("dc-%s-%d".formatted(name, changes)))
            .build();
    current = Optional.of(new Attempt(request, invariants.highestSeen()));
  }

  private void send(long nowMs, List<SimulatedReplica> replicas, Attempt attempt) {
    ProposedChange proposed =
        ProposedChange.newBuilder().setRequest(attempt.request()).setProposedMs(nowMs).build();
    Command command = Command.newBuilder().setChange(proposed).build();
    replicas
        .get(random.nextInt(replicas.size()))
        .responsive(nowMs)
        .ifPresent(each -> each.replica().propose(command, outcome -> receive(attempt, outcome)));
  }

  private void receive(Attempt attempt, ProposalOutcome outcome) {
    if (outcome instanceof ProposalOutcome.Applied(CommandResult.Change change)) {
      invariants.answered(attempt.request().getChangeId(), change.response(), attempt.floor());
      boolean lost = random.nextInt(100) < LOST_RESPONSE_PERCENT;
      if (!lost && current.equals(Optional.of(attempt))) {
        finish(attempt, change.response());
      }
    }
  }

  private void finish(Attempt attempt, ChangeAnswer answer) {
    boolean conflict = answer.getResult() == ChangeAnswer.Result.CONFLICT;
    conflicts += conflict ? 1 : 0;
    knownNumber = Math.max(knownNumber, conflict ? answer.getCurrentNumber() : answer.getNumber());
    respondedBefore = Optional.of(attempt);
    current = Optional.empty();
  }
}
