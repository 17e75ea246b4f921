package org.waxwingbeam.daemon.control;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.waxwingbeam.control.EntryRegistry;
import org.waxwingbeam.metrics.ControlMetrics;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.operator.OperatorService;
import org.waxwingbeam.operator.OperatorService.ChangeOutcome;
import org.waxwingbeam.operator.net.OperatorOperations;
import org.waxwingbeam.replica.LeaderAbsence;
import org.waxwingbeam.replica.LeaderAbsenceText;
import org.waxwingbeam.replica.ProposalOutcome;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.replica.net.ReplicaRunner;
import org.waxwingbeam.wire.configuration.Configuration;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.operator.History;
import org.waxwingbeam.wire.operator.InForce;
import org.waxwingbeam.wire.operator.ReplaceReplica;
import org.waxwingbeam.wire.operator.Status;

/** Serves operators' calls at one replica. All calls but the status need the leader's lease. */
final class ReplicaOperations implements OperatorOperations {
  private final InstanceName instance;
  private final ReplicatedState state;
  private final ReplicaRunner runner;
  private final EntryRegistry entryRegistry;
  private final OperatorService operatorService;
  private final ControlMetrics metrics;

  ReplicaOperations(
      InstanceName instance,
      ReplicatedState state,
      ReplicaRunner runner,
      EntryRegistry entryRegistry,
      OperatorService operatorService,
      ControlMetrics metrics) {
    this.instance = instance;
    this.state = state;
    this.runner = runner;
    this.entryRegistry = entryRegistry;
    this.operatorService = operatorService;
    this.metrics = metrics;
  }

  @Override
  public void submitChange(ChangeRequest request, Consumer<ChangeOutcome> receiver) {
    operatorService.submitChange(
        request,
        outcome -> {
          countOutcome(outcome);
          receiver.accept(outcome);
        });
  }

  private void countOutcome(ChangeOutcome outcome) {
    switch (outcome) {
      case ChangeOutcome.Decided decided -> metrics.onChangeResult(decided.response().getResult());
      case ChangeOutcome.NotLeader notLeader -> countNotLeader();
    }
  }

  private void countNotLeader() {
    metrics.onNotLeader();
    if (runner.leaderAddress().isEmpty()) {
      LeaderAbsence absence = runner.leaderAbsence(System.nanoTime());
      metrics.onNoLeader(LeaderAbsenceText.name(absence.cause()));
    }
  }

  @Override
  public void replaceReplica(ReplaceReplica request, Consumer<ChangeOutcome> receiver) {
    runner.replace(
        request.getOldId(),
        request.getNewId(),
        outcome -> receiver.accept(toChangeOutcome(outcome)));
  }

  private static ChangeOutcome toChangeOutcome(ProposalOutcome outcome) {
    return switch (outcome) {
      case ProposalOutcome.Applied applied -> changeResult(ChangeAnswer.Result.ACCEPTED, "");
      case ProposalOutcome.NotLeader none -> new ChangeOutcome.NotLeader();
      case ProposalOutcome.Refused refused ->
          changeResult(ChangeAnswer.Result.REFUSED, refused.reason());
      case ProposalOutcome.Unknown none ->
          changeResult(ChangeAnswer.Result.UNKNOWN, "the leader changed; list the replicas");
    };
  }

  private static ChangeOutcome changeResult(ChangeAnswer.Result result, String reason) {
    ChangeAnswer.Builder response = ChangeAnswer.newBuilder().setResult(result);
    if (!reason.isEmpty()) {
      response.addReasons(reason);
    }
    return new ChangeOutcome.Decided(response.build());
  }

  @Override
  public Optional<Configuration> configuration() {
    return nanoTimeWhileLeading().map(now -> operatorService.configuration());
  }

  @Override
  public Optional<History> history(long fromNumber) {
    return nanoTimeWhileLeading().map(now -> operatorService.history(now, fromNumber));
  }

  @Override
  public Optional<InForce> inForce(long number) {
    return nanoTimeWhileLeading().map(now -> operatorService.inForce(now, number));
  }

  private Optional<Long> nanoTimeWhileLeading() {
    return Optional.of(System.nanoTime()).filter(runner::holdsLeaderLease);
  }

  @Override
  public Status status() {
    long now = System.nanoTime();
    Replica replica = runner.replica();
    Status.Builder status =
        Status.newBuilder()
            .setReplica(replica.id())
            .setRole(replica.role().name().toLowerCase(Locale.ROOT))
            .setLeader(replica.leaderId().orElse(""))
            .setTerm(replica.term())
            .setInstance(instance.value())
            .setConfigurationNumber(state.configuration().number())
            .addAllReplicas(replica.memberStatuses(now));
    if (runner.holdsLeaderLease(now)) {
      status.addAllEntries(entryRegistry.statuses(now));
    }
    return status.build();
  }
}
