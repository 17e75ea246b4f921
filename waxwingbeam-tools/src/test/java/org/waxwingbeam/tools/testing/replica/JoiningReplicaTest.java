package org.waxwingbeam.tools.testing.replica;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.replica.net.ReplicaConnections;
import org.waxwingbeam.replica.net.ReplicaRunner;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.replica.AppendRequest;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/** A replica without entries that has found the leader through a follower. */
@Timeout(30)
class JoiningReplicaTest {
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final LinkLiveness.Timings LINK_TIMINGS = LinkLiveness.Timings.ofContact(3_000);
  private static final int REQUESTS = 40;
  private static final long REQUEST_INTERVAL_MS = 50;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<ReplicaMessage> replies = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private static Endpoint address(int port) {
    return new Endpoint("127.0.0.1", port);
  }

  private static ReplicaMember member(String id, int port) {
    return ReplicaMember.newBuilder().setId(id).setHost("127.0.0.1").setPort(port).build();
  }

  private ReplicaConnections peer(
      String id, List<ReplicaMember> members, Consumer<ReplicaMessage> receiver) {
    AtomicInteger port = new AtomicInteger();
    ReplicaConnections peer =
        new ReplicaConnections(
            group,
            ANY_PORT,
            "token",
            LINK_TIMINGS,
            () ->
                ReplicaHello.newBuilder()
                    .setMember(member(id, port.get()))
                    .addAllMembers(members)
                    .build(),
            each -> {},
            receiver);
    port.set(peer.port());
    return peer;
  }

  private Replica replica() throws IOException {
    return new Replica(
        Journal.open(new SimulatedFolder(() -> {}), () -> "own"),
        new ReplicatedState(new CountingClaims()),
        new SplittableRandom(1),
        Replica.Options.DEFAULT,
        entry -> {},
        System.nanoTime());
  }

  private static ReplicaMessage request(int number) {
    return ReplicaMessage.newBuilder()
        .setFrom("leader")
        .setTo("own")
        .setTerm(1)
        .setAppendRequest(
            AppendRequest.newBuilder().setPreviousIndex(10).setPreviousTerm(1).setSentNanos(number))
        .build();
  }

  /**
   * Guards against a replica that closes its link to the leader as soon as the leader has called,
   * before it has received the entries that name the leader, so that its replies are dropped.
   */
  @Test
  void leaderGetsRepliesAsLongAsItsEntriesAreMissing() throws Exception {
    try (ReplicaConnections leader = peer("leader", List.of(), replies::add);
        ReplicaConnections follower =
            peer("follower", List.of(member("leader", leader.port())), message -> {});
        ReplicaRunner runner =
            new ReplicaRunner(
                group,
                replica(),
                new ReplicaRunner.Settings(
                    ANY_PORT, ANY_PORT, List.of(address(follower.port())), "token", LINK_TIMINGS),
                new SilentListener())) {
      runner.start();
      group.next().submit(() -> leader.connectTo(Set.of(address(runner.port())))).sync();
      for (int number = 1; number <= REQUESTS; number++) {
        ReplicaMessage request = request(number);
        group.next().submit(() -> leader.send(request)).sync();
        Thread.sleep(REQUEST_INTERVAL_MS);
      }

      assertThat(replies.stream().map(each -> each.getAppendReply().getSentNanos()))
          .contains((long) REQUESTS);
    }
  }

  private static final class SilentListener implements ReplicaRunner.Listener {
    @Override
    public void onLeading(long nowNanos) {}

    @Override
    public void onApplied() {}

    @Override
    public void onTick(long nowNanos) {}

    @Override
    public void onFailure(IOException reason) {}
  }
}
