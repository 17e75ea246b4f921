package org.waxwingbeam.tools.testing.replica;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.NoOperation;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/**
 * All five replicas lose power at once, and two of them also their disks. Guards against committed
 * entries that are applied late after the restart, and against a long time without a leader.
 */
class PowerLossTest {
  private static final int STEP_MS = 5;
  private static final int DOWN_MS = 500;

  /** Covers the election timeout for the lost leader, two failed elections and a successful one. */
  private static final int NEW_LEADER_TIMEOUT_MS = 2_000;

  private final List<SimulatedReplica> replicas = new ArrayList<>();
  private long nowMs;

  private void step() {
    nowMs += STEP_MS;
    List<ReplicaMessage> sent =
        replicas.stream().flatMap(each -> each.step(nowMs).stream()).toList();
    sent.forEach(
        message ->
            replicas.stream()
                .filter(each -> each.id().equals(message.getTo()))
                .forEach(each -> each.receive(message)));
  }

  private Optional<SimulatedReplica> leader() {
    return replicas.stream().filter(SimulatedReplica::isLeader).findFirst();
  }

  private void awaitLeader(long timeoutMs) {
    long end = nowMs + timeoutMs;
    while (leader().isEmpty() && nowMs < end) {
      step();
    }
    assertThat(leader()).isPresent();
  }

  private void propose() {
    leader()
        .orElseThrow()
        .running()
        .orElseThrow()
        .replica()
        .propose(
            Command.newBuilder().setNoOperation(NoOperation.getDefaultInstance()).build(),
            outcome -> {});
    for (int i = 0; i < 100; i++) {
      step();
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void committedStateIsAppliedAtRestartAndLeaderIsElectedSoon(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ReplicaInvariants invariants = new ReplicaInvariants();
    IntStream.range(0, 5)
        .forEach(slot -> replicas.add(new SimulatedReplica(slot, random.split(), invariants)));
    step();
    replicas.forEach(
        each ->
            each.running()
                .orElseThrow()
                .replica()
                .createLog(replicas.stream().map(SimulatedReplica::member).toList()));
    awaitLeader(10_000);
    propose();
    propose();

    replicas.subList(0, 3).forEach(each -> each.crash(nowMs, DOWN_MS));
    replicas.subList(3, 5).forEach(each -> each.loseDisk(nowMs, DOWN_MS));
    nowMs += DOWN_MS;
    step();

    replicas
        .subList(0, 3)
        .forEach(
            each -> assertThat(each.running().orElseThrow().replica().appliedIndex()).isAtLeast(2));
    awaitLeader(NEW_LEADER_TIMEOUT_MS);
  }
}
