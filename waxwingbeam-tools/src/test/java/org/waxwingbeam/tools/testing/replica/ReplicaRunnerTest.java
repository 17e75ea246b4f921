package org.waxwingbeam.tools.testing.replica;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaRole;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.replica.net.ReplicaRunner;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.replica.LogSnapshot;
import org.waxwingbeam.wire.replica.ReplicaMessage;
import org.waxwingbeam.wire.replica.SnapshotRequest;

/** Runs one replica whose disk fails at a chosen moment. */
@Timeout(30)
class ReplicaRunnerTest {
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final LinkLiveness.Timings LINK_TIMINGS = LinkLiveness.Timings.ofContact(3_000);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<IOException> reported = new LinkedBlockingQueue<>();
  private final SimulatedFolder folder = new SimulatedFolder(this::failIfSet);
  private volatile boolean diskFails;

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void fullDiskWhileSnapshotIsInstalledSuspendsTheReplicaUntilThereIsRoom() throws Exception {
    Replica replica = replica();
    try (ReplicaRunner runner =
        new ReplicaRunner(
            group,
            replica,
            new ReplicaRunner.Settings(ANY_PORT, ANY_PORT, List.of(), "token", LINK_TIMINGS),
            new RecordingListener())) {
      diskFails = true;
      group.next().submit(() -> replica.receive(System.nanoTime(), snapshot(replica.id()))).sync();
      runner.start();
      // Several ticks of the runner and several retries of the write.
      Thread.sleep(700);
      assertThat(role(replica)).isEqualTo(ReplicaRole.SUSPENDED);
      assertThat(replica.suspension().orElseThrow()).hasMessageThat().isEqualTo("disk full");

      diskFails = false;
      Thread.sleep(700);
      assertThat(role(replica)).isEqualTo(ReplicaRole.LEARNER);
      assertThat(reopened().snapshot().getIndex()).isEqualTo(10);
      assertThat(reported).isEmpty();
    }
  }

  private ReplicaRole role(Replica replica) throws Exception {
    return group.next().submit(replica::role).get();
  }

  private RecoveredJournal reopened() throws IOException {
    return RecoveredJournal.open(folder);
  }

  private Replica replica() throws IOException {
    return new Replica(
        Journal.open(folder, () -> "replica-1"),
        new ReplicatedState(new CountingClaims()),
        new SplittableRandom(1),
        Replica.Options.DEFAULT,
        entry -> {},
        System.nanoTime());
  }

  private void failIfSet() throws IOException {
    if (diskFails) {
      throw new IOException("disk full");
    }
  }

  private static ReplicaMessage snapshot(String receiver) {
    return ReplicaMessage.newBuilder()
        .setFrom("replica-2")
        .setTo(receiver)
        .setTerm(1)
        .setSnapshotRequest(
            SnapshotRequest.newBuilder()
                .setSnapshot(LogSnapshot.newBuilder().setIndex(10).setTerm(1)))
        .build();
  }

  private final class RecordingListener implements ReplicaRunner.Listener {
    @Override
    public void onLeading(long nowNanos) {}

    @Override
    public void onApplied() {}

    @Override
    public void onTick(long nowNanos) {}

    @Override
    public void onFailure(IOException reason) {
      reported.add(reason);
    }
  }
}
