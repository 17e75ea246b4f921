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
  private int changeCount;
  private long knownNumber;
  private Optional<SentChange> pending = Optional.empty();
  private Optional<SentChange> lastCompleted = Optional.empty();
  private long nextSendMs;
  private int conflicts;
  private int resends;

  private record SentChange(ChangeRequest request, long minNumber) {}

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

  boolean hasPendingChange() {
    return pending.isPresent();
  }

  /**
   * Starts a new change if none is pending, or sends the pending change again; sometimes also sends
   * the last completed change again.
   */
  void step(long nowMs, List<SimulatedReplica> replicas, boolean mayStartChange) {
    if (nowMs < nextSendMs || (pending.isEmpty() && !mayStartChange)) {
      return;
    }
    nextSendMs = nowMs + random.nextInt(RESEND_MS);
    if (pending.isEmpty()) {
      startChange();
    } else {
      resends++;
    }
    send(nowMs, replicas, pending.orElseThrow());
    if (random.nextInt(100) < RESENT_AFTER_RESPONSE_PERCENT) {
      lastCompleted.ifPresent(completed -> send(nowMs, replicas, completed));
    }
  }

  private void startChange() {
    changeCount++;
    ChangeRequest request =
        ChangeRequest.newBuilder()
            .setChangeId("%s-%d".formatted(name, changeCount))
            .setBasedOn(knownNumber)
            .setOperator(name)
            .setChange(
                Change.newBuilder().setTakeDataCentreOut("dc-%s-%d".formatted(name, changeCount)))
            .build();
    pending = Optional.of(new SentChange(request, invariants.highestNumber()));
  }

  private void send(long nowMs, List<SimulatedReplica> replicas, SentChange sentChange) {
    ProposedChange proposed =
        ProposedChange.newBuilder().setRequest(sentChange.request()).setProposedMs(nowMs).build();
    Command command = Command.newBuilder().setChange(proposed).build();
    replicas
        .get(random.nextInt(replicas.size()))
        .runningUnlessFrozen(nowMs)
        .ifPresent(
            each ->
                each.replica().propose(command, outcome -> receiveResponse(sentChange, outcome)));
  }

  private void receiveResponse(SentChange sentChange, ProposalOutcome outcome) {
    if (outcome instanceof ProposalOutcome.Applied(CommandResult.Change change)) {
      invariants.checkResponse(
          sentChange.request().getChangeId(), change.answer(), sentChange.minNumber());
      boolean lost = random.nextInt(100) < LOST_RESPONSE_PERCENT;
      if (!lost && pending.equals(Optional.of(sentChange))) {
        completeChange(sentChange, change.answer());
      }
    }
  }

  private void completeChange(SentChange sentChange, ChangeAnswer response) {
    boolean conflict = response.getResult() == ChangeAnswer.Result.CONFLICT;
    conflicts += conflict ? 1 : 0;
    knownNumber =
        Math.max(knownNumber, conflict ? response.getCurrentNumber() : response.getNumber());
    lastCompleted = Optional.of(sentChange);
    pending = Optional.empty();
  }
}
