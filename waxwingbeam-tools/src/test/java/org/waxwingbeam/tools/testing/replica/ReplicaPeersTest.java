package org.waxwingbeam.tools.testing.replica;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.KnownReplicas;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaPeers;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.replica.AppendRequest;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/** The addresses to which a replica with an empty disk connects. */
class ReplicaPeersTest {
  private static final Endpoint OWN = new Endpoint("127.0.0.1", 1);
  private static final Endpoint SEED = new Endpoint("127.0.0.1", 2);
  private static final Endpoint LEADER = new Endpoint("127.0.0.1", 3);
  private static final Endpoint OTHER = new Endpoint("127.0.0.1", 4);

  private Replica replica;
  private ReplicaPeers peers;

  @BeforeEach
  void start() throws IOException {
    replica =
        new Replica(
            Journal.open(new SimulatedFolder(SimulatedFolder.DiskFaults.NONE), () -> "replica"),
            new ReplicatedState(new CountingClaims()),
            new SplittableRandom(1),
            Replica.Options.DEFAULT,
            entry -> {},
            0);
    KnownReplicas knownReplicas = new KnownReplicas(List.of(SEED), true);
    peers = new ReplicaPeers(replica, knownReplicas, OWN, List.of(SEED));
    knownReplicas.recordHello(
        ReplicaHello.newBuilder()
            .setMember(member("leader", LEADER))
            .addMembers(member("leader", LEADER))
            .addMembers(member("other", OTHER))
            .build());
  }

  private static ReplicaMember member(String id, Endpoint address) {
    return ReplicaMember.newBuilder()
        .setId(id)
        .setHost(address.host())
        .setPort(address.port())
        .build();
  }

  @Test
  void replicaWithoutLeaderConnectsToReportedMembers() {
    assertThat(peers.otherAddresses(0, OWN)).containsExactly(SEED, LEADER, OTHER);
  }

  @Test
  void replicaConnectsToTheLeaderThatItHears() {
    replica.receive(
        0,
        ReplicaMessage.newBuilder()
            .setFrom("leader")
            .setTo("replica")
            .setTerm(1)
            .setAppendRequest(AppendRequest.getDefaultInstance())
            .build());

    assertThat(replica.hasQuorumContact(0)).isTrue();
    assertThat(peers.otherAddresses(0, OWN)).containsExactly(SEED, LEADER);
  }
}
