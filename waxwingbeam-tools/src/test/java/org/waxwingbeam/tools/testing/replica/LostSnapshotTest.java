package org.waxwingbeam.tools.testing.replica;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.MembershipCoordinator;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;
import org.waxwingbeam.wire.routing.PutDocument;
import org.waxwingbeam.wire.routing.RoutingChange;
import org.waxwingbeam.wire.routing.RoutingDocument;

/**
 * A snapshot that is lost on its way to a learner, as when the connection's buffer is full. Guards
 * against a learner that waits for seconds until the snapshot is sent again.
 */
class LostSnapshotTest {
  private static final long STEP_MS = 10;
  private static final int CHANGES = 20;
  private static final int CHANGE_BYTES = 250_000;

  private long nowMs;

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  private static Replica replica(String id) throws IOException {
    return new Replica(
        Journal.open(new SimulatedFolder(SimulatedFolder.DiskFaults.NONE), () -> id),
        new ReplicatedState(new CountingClaims()),
        new SplittableRandom(1),
        Replica.Options.DEFAULT,
        entry -> {},
        0);
  }

  private static ReplicaMember member(Replica replica) {
    return ReplicaMember.newBuilder().setId(replica.id()).setHost(replica.id()).setPort(1).build();
  }

  private Replica leaderWithCompactedLog() throws IOException {
    Replica leader = replica("leader");
    leader.createLog(List.of(member(leader)));
    leader.flush(nanos());
    nowMs += 5_000;
    leader.tick(nanos());
    leader.flush(nanos());
    for (int version = 1; version <= CHANGES; version++) {
      leader.propose(change(version), outcome -> {});
      leader.flush(nanos());
    }
    return leader;
  }

  private static Command change(int version) {
    return Command.newBuilder()
        .setRouting(
            RoutingChange.newBuilder()
                .setPutDocument(
                    PutDocument.newBuilder()
                        .setDocument(RoutingDocument.newBuilder().setVersion(version))
                        .setSource(ByteString.copyFrom(new byte[CHANGE_BYTES]))))
        .build();
  }

  @Test
  void snapshotIsSentAgainAsSoonAsTheLearnerReplies() throws IOException {
    Replica leader = leaderWithCompactedLog();
    Replica learner = replica("learner");
    new MembershipCoordinator(leader).addLearnerOrUpdateAddress(member(learner), true);
    int snapshots = 0;
    long endMs = nowMs + 1_000;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      leader.tick(nanos());
      for (ReplicaMessage each : leader.flush(nanos())) {
        snapshots += each.hasSnapshotRequest() ? 1 : 0;
        if (!each.hasSnapshotRequest() || snapshots > 1) {
          learner.receive(nanos(), each);
        }
      }
      learner.flush(nanos()).forEach(each -> leader.receive(nanos(), each));
    }

    assertThat(snapshots).isEqualTo(2);
    assertThat(learner.appliedIndex()).isEqualTo(leader.appliedIndex());
  }
}
