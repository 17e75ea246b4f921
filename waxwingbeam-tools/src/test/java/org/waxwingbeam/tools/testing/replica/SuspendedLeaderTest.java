package org.waxwingbeam.tools.testing.replica;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaRole;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/** A leader whose machine is suspended for seconds that its clock does not count. */
class SuspendedLeaderTest {
  private static final int REPLICAS = 3;
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final int MAX_STEPS = 1_000;

  private final List<Replica> replicas = new ArrayList<>();
  private final long[] clocks = new long[REPLICAS];
  private final List<ReplicaMessage> messages = new ArrayList<>();

  @BeforeEach
  void start() throws IOException {
    for (int i = 0; i < REPLICAS; i++) {
      String id = "replica-" + i;
      replicas.add(
          new Replica(
              Journal.open(new SimulatedFolder(SimulatedFolder.DiskFaults.NONE), () -> id),
              new ReplicatedState(new CountingClaims()),
              new SplittableRandom(i),
              Replica.Options.DEFAULT,
              entry -> {},
              0));
    }
    List<ReplicaMember> voters =
        replicas.stream().map(each -> ReplicaMember.newBuilder().setId(each.id()).build()).toList();
    replicas.forEach(each -> each.createLog(voters));
  }

  /** Runs replicas for one step, each by its own clock; messages to others wait. */
  private void step(List<Integer> running) {
    List<ReplicaMessage> delivered = List.copyOf(messages);
    messages.clear();
    for (int i = 0; i < REPLICAS; i++) {
      Replica replica = replicas.get(i);
      if (running.contains(i)) {
        clocks[i] += STEP_NANOS;
        long now = clocks[i];
        delivered.stream()
            .filter(each -> each.getTo().equals(replica.id()))
            .forEach(each -> replica.receive(now, each));
        replica.tick(now);
        messages.addAll(replica.flush(now));
      } else {
        delivered.stream().filter(each -> each.getTo().equals(replica.id())).forEach(messages::add);
      }
    }
  }

  private int awaitLeader(List<Integer> running) {
    for (int i = 0; i < MAX_STEPS; i++) {
      step(running);
      for (int each : running) {
        if (replicas.get(each).role() == ReplicaRole.LEADER
            && replicas.get(each).holdsLeaderLease(clocks[each])) {
          return each;
        }
      }
    }
    throw new AssertionError("no leader after " + MAX_STEPS + " steps");
  }

  @Test
  void leaderThatWasReplacedWhileSuspendedIsNotConfirmed() {
    List<Integer> all = List.of(0, 1, 2);
    int suspended = awaitLeader(all);
    awaitLeader(all.stream().filter(each -> each != suspended).toList());

    Replica old = replicas.get(suspended);
    assertThat(old.holdsLeaderLease(clocks[suspended])).isTrue();
    List<Boolean> confirmed = new ArrayList<>();
    old.confirmLeadership(clocks[suspended], confirmed::add);
    assertThat(confirmed).isEmpty();
    for (int i = 0; i < 20; i++) {
      step(all);
    }
    assertThat(confirmed).containsExactly(false);
  }

  @Test
  void leaderIsConfirmedAfterOneRoundTrip() {
    List<Integer> all = List.of(0, 1, 2);
    int leader = awaitLeader(all);
    List<Boolean> confirmed = new ArrayList<>();
    replicas.get(leader).confirmLeadership(clocks[leader], confirmed::add);
    for (int i = 0; i < 4; i++) {
      step(all);
    }
    assertThat(confirmed).containsExactly(true);
  }

  @Test
  void replicaThatDoesNotLeadIsDeniedAtOnce() {
    List<Integer> all = List.of(0, 1, 2);
    int follower = (awaitLeader(all) + 1) % REPLICAS;
    List<Boolean> confirmed = new ArrayList<>();
    replicas.get(follower).confirmLeadership(clocks[follower], confirmed::add);
    assertThat(confirmed).containsExactly(false);
  }
}
