package org.waxwingbeam.tools.testing.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.waxwingbeam.replica.ProposalOutcome;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaMember;

/** Injects random faults: crashed, frozen and isolated replicas, full, failed and lost disks. */
final class ReplicaFaults {
  private static final int MEAN_FAULT_INTERVAL_MS = 1_500;
  private static final int MAX_ISOLATION_MS = 6_000;
  private static final int MAX_DISK_FULL_MS = 4_000;
  private static final int MAX_FREEZE_MS = 5_000;
  private static final int MAX_DOWN_MS = 3_000;
  private static final int CRASH_PERCENT_OF_OPERATIONS = 2;

  private final RandomGenerator random;
  private final SimulatedNetwork<?> network;
  private final List<SimulatedReplica> replicas;
  private final Map<String, SimulatedReplica> replacements = new TreeMap<>();
  private long nextFaultMs;
  private long unblockMs;
  private int lostDisks;

  ReplicaFaults(
      RandomGenerator random, SimulatedNetwork<?> network, List<SimulatedReplica> replicas) {
    this.random = random;
    this.network = network;
    this.replicas = replicas;
    nextFaultMs = 5_000;
    unblockMs = Long.MAX_VALUE;
  }

  int lostDisks() {
    return lostDisks;
  }

  /** Injects the faults of one step and unblocks links that have been blocked long enough. */
  void injectAndUnblock(long nowMs, Optional<SimulatedReplica> leader) {
    if (nowMs >= unblockMs) {
      network.unblockAll();
      unblockMs = Long.MAX_VALUE;
    }
    leader.ifPresent(each -> replaceLostReplicas(nowMs, each));
    if (nowMs >= nextFaultMs) {
      nextFaultMs = nowMs + random.nextInt(2 * MEAN_FAULT_INTERVAL_MS);
      injectFault(nowMs, leader);
    }
  }

  private void injectFault(long nowMs, Optional<SimulatedReplica> leader) {
    SimulatedReplica victim =
        leader.filter(each -> random.nextInt(3) == 0).orElseGet(this::anyReplica);
    switch (random.nextInt(7)) {
      case 0 -> victim.crash(nowMs, random.nextInt(MAX_DOWN_MS));
      case 1 -> victim.freeze(nowMs + random.nextInt(MAX_FREEZE_MS));
      case 2 -> isolate(nowMs, victim, true, true);
      case 3 -> isolate(nowMs, victim, random.nextBoolean(), random.nextBoolean());
      case 4 -> toggleCrashesAtDiskOperations(victim);
      case 5 -> victim.fillDisk(nowMs + random.nextInt(MAX_DISK_FULL_MS));
      default -> loseDisk(nowMs, victim, leader);
    }
  }

  private SimulatedReplica anyReplica() {
    return replicas.get(random.nextInt(replicas.size()));
  }

  private void toggleCrashesAtDiskOperations(SimulatedReplica victim) {
    victim.setCrashPercentOfOperations(random.nextBoolean() ? CRASH_PERCENT_OF_OPERATIONS : 0);
  }

  private void isolate(long nowMs, SimulatedReplica victim, boolean incoming, boolean outgoing) {
    unblockMs = nowMs + random.nextInt(MAX_ISOLATION_MS);
    for (SimulatedReplica other : replicas) {
      if (other != victim && incoming) {
        network.block(other.id(), victim.id());
      }
      if (other != victim && outgoing) {
        network.block(victim.id(), other.id());
      }
    }
  }

  /** Loses the disk of a voter other than the leader, if no other replacement is in progress. */
  private void loseDisk(long nowMs, SimulatedReplica victim, Optional<SimulatedReplica> leader) {
    boolean possible = leader.isPresent() && replacements.isEmpty() && !leader.get().equals(victim);
    if (!possible || !isVoter(leader.get(), victim.id())) {
      return;
    }
    lostDisks++;
    replacements.put(victim.id(), victim);
    if (random.nextBoolean()) {
      victim.failDisk(nowMs + MAX_DOWN_MS);
    } else {
      victim.loseDisk(nowMs, random.nextInt(MAX_DOWN_MS));
    }
  }

  private static boolean isVoter(SimulatedReplica leader, String id) {
    return membership(leader).getVotersList().stream()
        .map(ReplicaMember::getId)
        .anyMatch(id::equals);
  }

  private static Membership membership(SimulatedReplica leader) {
    return leader.running().orElseThrow().replica().membership();
  }

  /** Lets the leader replace voters that lost their disks by the replicas with the new disks. */
  void replaceLostReplicas(long nowMs, SimulatedReplica leader) {
    for (Map.Entry<String, SimulatedReplica> each : new ArrayList<>(replacements.entrySet())) {
      replace(nowMs, leader, each.getKey(), each.getValue());
    }
  }

  private void replace(
      long nowMs, SimulatedReplica leader, String lostId, SimulatedReplica replacement) {
    if (replacement.id().equals(lostId)) {
      return;
    }
    SimulatedReplica.Running leading = leader.running().orElseThrow();
    boolean mayJoin =
        replacement
            .running()
            .map(SimulatedReplica.Running::replica)
            .map(Replica::mayJoin)
            .orElse(false);
    leading.coordinator().addLearnerOrUpdateAddress(replacement.member(), mayJoin);
    if (!isVoter(leader, lostId)) {
      replacements.remove(lostId);
      return;
    }
    leading
        .coordinator()
        .replace(
            TimeUnit.MILLISECONDS.toNanos(nowMs), lostId, replacement.id(), ReplicaFaults::ignore);
  }

  private static void ignore(ProposalOutcome outcome) {}

  boolean replacementsFinished() {
    return replacements.isEmpty();
  }

  /** Ends all faults except failed and lost disks, which are still to be replaced. */
  void endFaults(long nowMs) {
    network.unblockAll();
    network.setReliable(true);
    replicas.forEach(each -> each.setCrashPercentOfOperations(0));
    replicas.forEach(each -> each.freeze(nowMs));
    replicas.forEach(each -> each.fillDisk(nowMs));
  }
}
