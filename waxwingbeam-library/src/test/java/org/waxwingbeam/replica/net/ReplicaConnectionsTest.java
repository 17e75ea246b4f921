package org.waxwingbeam.replica.net;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMember;

/** Connections to replicas that come and go. */
class ReplicaConnectionsTest {
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private ReplicaConnections connections(String id, CountDownLatch hellos) {
    ReplicaHello hello =
        ReplicaHello.newBuilder().setMember(ReplicaMember.newBuilder().setId(id)).build();
    return new ReplicaConnections(
        group, ANY_PORT, "token", () -> hello, each -> hellos.countDown(), message -> {});
  }

  private static Endpoint address(ReplicaConnections connections) {
    return new Endpoint("127.0.0.1", connections.port());
  }

  /**
   * Guards against a replica that ends when several members leave the log while they are connected:
   * the connections were closed during an iteration over them.
   */
  @Test
  void connectionsToSeveralFormerMembersAreClosed() throws Exception {
    CountDownLatch hellos = new CountDownLatch(3);
    CountDownLatch ignored = new CountDownLatch(0);
    try (ReplicaConnections own = connections("own", hellos);
        ReplicaConnections first = connections("first", ignored);
        ReplicaConnections second = connections("second", ignored);
        ReplicaConnections third = connections("third", ignored)) {
      Set<Endpoint> all =
          Stream.of(first, second, third)
              .map(ReplicaConnectionsTest::address)
              .collect(Collectors.toSet());
      group.next().submit(() -> own.connectTo(all)).get();
      assertThat(hellos.await(5, TimeUnit.SECONDS)).isTrue();

      group.next().submit(() -> own.connectTo(Set.of())).get();
    }
  }
}
