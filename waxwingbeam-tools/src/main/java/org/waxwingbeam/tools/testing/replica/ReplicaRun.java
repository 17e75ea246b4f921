package org.waxwingbeam.tools.testing.replica;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/**
 * Simulates control replicas under random faults and checks that no accepted change is lost or
 * altered.
 *
 * <pre>{@code
 * ReplicaRun.Report report = new ReplicaRun(seed, 3).run(60_000);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class ReplicaRun {
  private static final int STEP_MS = 10;
  private static final int OPERATORS = 3;
  private static final int CONVERGENCE_TIMEOUT_MS = 30_000;
  private static final SimulatedNetwork.Faults NETWORK_FAULTS =
      new SimulatedNetwork.Faults(5, 5, 60);

  private final RandomGenerator random;
  private final ReplicaInvariants invariants = new ReplicaInvariants();
  private final SimulatedNetwork<ReplicaMessage> network;
  private final List<SimulatedReplica> replicas;
  private final List<SimulatedOperator> operators;
  private final ReplicaFaults faults;
  private long nowMs;

  /**
   * The event counts of a run.
   *
   * @param acceptedChanges accepted changes
   * @param conflicts changes refused because another change was accepted first
   * @param resends changes that were sent again
   * @param terms terms that had a leader
   * @param crashes crashed processes
   * @param lostDisks failed or lost disks
   */
  public record Report(
      int acceptedChanges, int conflicts, int resends, int terms, int crashes, int lostDisks) {}

  /**
   * Creates a run.
   *
   * @param seed seed of all random numbers
   * @param voterCount number of voters
   */
  public ReplicaRun(long seed, int voterCount) {
    random = new SplittableRandom(seed);
    network = new SimulatedNetwork<>(random, NETWORK_FAULTS);
    replicas =
        IntStream.range(0, voterCount)
            .mapToObj(slot -> new SimulatedReplica(slot, random, invariants))
            .toList();
    operators =
        IntStream.range(0, OPERATORS)
            .mapToObj(each -> new SimulatedOperator("operator" + each, random, invariants))
            .toList();
    faults = new ReplicaFaults(random, network, replicas);
  }

  /**
   * Runs with faults for a time, then without until every change has its response and all replicas
   * agree.
   *
   * @param durationMs how long faults occur, in simulated milliseconds
   * @return the event counts
   * @throws InvariantViolation if an invariant was violated
   */
  public Report run(long durationMs) {
    List<ReplicaMember> voters = replicas.stream().map(SimulatedReplica::member).toList();
    step(false);
    replicas.getFirst().running().orElseThrow().replica().createLog(voters);
    while (nowMs < durationMs) {
      faults.injectAndUnblock(nowMs, leader());
      step(true);
    }
    awaitConvergence();
    return report();
  }

  private Optional<SimulatedReplica> leader() {
    long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
    return replicas.stream()
        .filter(each -> each.runningUnlessFrozen(nowMs).isPresent())
        .filter(each -> each.running().orElseThrow().replica().holdsLeaderLease(nowNanos))
        .findFirst();
  }

  private void step(boolean mayStartChanges) {
    nowMs += STEP_MS;
    network.deliver(nowMs, this::deliver);
    replicas.forEach(each -> each.step(nowMs).forEach(message -> send(each, message)));
    replicas.forEach(this::checkRead);
    operators.forEach(each -> each.step(nowMs, replicas, mayStartChanges));
  }

  private void send(SimulatedReplica sender, ReplicaMessage message) {
    replicas.stream()
        .filter(each -> each.id().equals(message.getTo()))
        .forEach(each -> network.send(nowMs, sender.id(), each.id(), message));
  }

  private void deliver(String from, String to, ReplicaMessage message) {
    replicas.stream().filter(each -> each.id().equals(to)).forEach(each -> each.receive(message));
  }

  /** Reads at the replica if it holds the leader's lease, that is, may serve reads. */
  private void checkRead(SimulatedReplica replica) {
    long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
    replica
        .runningUnlessFrozen(nowMs)
        .filter(each -> each.replica().holdsLeaderLease(nowNanos))
        .ifPresent(each -> invariants.checkRead(each.state().configuration().number()));
  }

  private void awaitConvergence() {
    faults.endFaults(nowMs);
    long deadlineMs = nowMs + CONVERGENCE_TIMEOUT_MS;
    while (nowMs < deadlineMs && !hasConverged()) {
      leader().ifPresent(each -> faults.replaceLostReplicas(nowMs, each));
      step(false);
    }
    InvariantViolation.check(
        hasConverged(),
        () ->
            "replicas did not converge within %d ms after the last fault: %s"
                .formatted(CONVERGENCE_TIMEOUT_MS, describe()));
  }

  /** Describes the state of all replicas for an error message. */
  private String describe() {
    String applied =
        replicas.stream()
            .map(each -> each.id() + "=" + each.running().map(r -> r.replica().appliedIndex()))
            .collect(Collectors.joining(" "));
    return "leader %s, applied %s, replacements finished %s"
        .formatted(leader().map(SimulatedReplica::id), applied, faults.replacementsFinished());
  }

  private boolean hasConverged() {
    boolean noPendingChanges = operators.stream().noneMatch(SimulatedOperator::hasPendingChange);
    return noPendingChanges
        && leader().isPresent()
        && replicas.stream().allMatch(each -> hasAppliedAll(each))
        && faults.replacementsFinished();
  }

  private boolean hasAppliedAll(SimulatedReplica replica) {
    long commitIndex = leader().orElseThrow().running().orElseThrow().replica().commitIndex();
    return replica
        .running()
        .map(SimulatedReplica.Running::replica)
        .map(Replica::appliedIndex)
        .equals(Optional.of(commitIndex));
  }

  private Report report() {
    return new Report(
        invariants.acceptedChanges(),
        operators.stream().mapToInt(SimulatedOperator::conflicts).sum(),
        operators.stream().mapToInt(SimulatedOperator::resends).sum(),
        invariants.terms(),
        replicas.stream().mapToInt(SimulatedReplica::crashes).sum(),
        faults.lostDisks());
  }
}
