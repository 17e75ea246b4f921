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

/** Answers operators from one replica. All but the status needs the leader's lease. */
final class ReplicaOperations implements OperatorOperations {
  private final InstanceName instance;
  private final ReplicatedState state;
  private final ReplicaRunner host;
  private final EntryRegistry registry;
  private final OperatorService operators;
  private final ControlMetrics metrics;

  ReplicaOperations(
      InstanceName instance,
      ReplicatedState state,
      ReplicaRunner host,
      EntryRegistry registry,
      OperatorService operators,
      ControlMetrics metrics) {
    this.instance = instance;
    this.state = state;
    this.host = host;
    this.registry = registry;
    this.operators = operators;
    this.metrics = metrics;
  }

  @Override
  public void submitChange(ChangeRequest request, Consumer<ChangeOutcome> receiver) {
    operators.submitChange(
        request,
        outcome -> {
          count(outcome);
          receiver.accept(outcome);
        });
  }

  private void count(ChangeOutcome outcome) {
    switch (outcome) {
      case ChangeOutcome.Decided answered ->
          metrics.onChangeResult(answered.response().getResult());
      case ChangeOutcome.NotLeader none -> metrics.onNotLeader();
    }
  }

  @Override
  public void replaceReplica(ReplaceReplica request, Consumer<ChangeOutcome> receiver) {
    host.replace(
        request.getOldId(),
        request.getNewId(),
        outcome -> receiver.accept(toChangeOutcome(outcome)));
  }

  private static ChangeOutcome toChangeOutcome(ProposalOutcome outcome) {
    return switch (outcome) {
      case ProposalOutcome.Applied applied -> decided(ChangeAnswer.Result.ACCEPTED, "");
      case ProposalOutcome.NotLeader none -> new ChangeOutcome.NotLeader();
      case ProposalOutcome.Refused refused ->
          decided(ChangeAnswer.Result.REFUSED, refused.reason());
      case ProposalOutcome.Unknown none ->
          decided(ChangeAnswer.Result.UNKNOWN, "the leader changed; list the replicas");
    };
  }

  private static ChangeOutcome decided(ChangeAnswer.Result result, String reason) {
    ChangeAnswer.Builder answer = ChangeAnswer.newBuilder().setResult(result);
    if (!reason.isEmpty()) {
      answer.addReasons(reason);
    }
    return new ChangeOutcome.Decided(answer.build());
  }

  @Override
  public Optional<Configuration> configuration() {
    return whileLeading().map(now -> operators.configuration());
  }

  @Override
  public Optional<History> history(long fromNumber) {
    return whileLeading().map(now -> operators.history(now, fromNumber));
  }

  @Override
  public Optional<InForce> inForce(long number) {
    return whileLeading().map(now -> operators.inForce(now, number));
  }

  private Optional<Long> whileLeading() {
    return Optional.of(System.nanoTime()).filter(host::holdsLeaderLease);
  }

  @Override
  public Status status() {
    long now = System.nanoTime();
    Replica replica = host.replica();
    Status.Builder status =
        Status.newBuilder()
            .setReplica(replica.id())
            .setRole(replica.role().name().toLowerCase(Locale.ROOT))
            .setLeader(replica.leaderId().orElse(""))
            .setTerm(replica.term())
            .setInstance(instance.value())
            .setConfigurationNumber(state.configuration().number())
            .addAllReplicas(replica.memberStatuses(now));
    if (host.holdsLeaderLease(now)) {
      status.addAllEntries(registry.statuses(now));
    }
    return status.build();
  }
}
