package org.waxwingbeam.replica.net;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.control.net.SilentRelay;
import org.waxwingbeam.replica.ReplicaLinks;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/** Connections to replicas that come and go. */
class ReplicaConnectionsTest {
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);

  private static final long CONTACT_MS = 1_200;

  private final BlockingQueue<String> messages = new LinkedBlockingQueue<>();
  private final List<Future<?>> ticking = new ArrayList<>();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    ticking.forEach(each -> each.cancel(false));
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private ReplicaConnections connections(String id, CountDownLatch hellos) {
    ReplicaHello hello =
        ReplicaHello.newBuilder().setMember(ReplicaMember.newBuilder().setId(id)).build();
    return new ReplicaConnections(
        group,
        ANY_PORT,
        "token",
        LinkLiveness.Timings.ofContact(CONTACT_MS),
        () -> hello,
        each -> hellos.countDown(),
        message -> messages.add(message.getFrom()));
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

  /** Keeps a replica connected to some addresses, as its runner does. */
  private void keepConnected(ReplicaConnections own, Endpoint... addresses) {
    ticking.add(
        group
            .next()
            .scheduleAtFixedRate(
                () -> {
                  own.tick(System.nanoTime());
                  own.connectTo(Set.of(addresses));
                },
                0,
                20,
                TimeUnit.MILLISECONDS));
  }

  /** Returns whether a message from one replica to another arrives within the contact time. */
  private boolean arrivesInTime(ReplicaConnections from, String to) throws Exception {
    messages.clear();
    for (long waitedMs = 0; waitedMs < CONTACT_MS; waitedMs += 20) {
      ReplicaMessage message = ReplicaMessage.newBuilder().setFrom("own").setTo(to).build();
      group.next().submit(() -> from.send(message)).get();
      if (messages.poll(20, TimeUnit.MILLISECONDS) != null) {
        return true;
      }
    }
    return false;
  }

  /** Guards against a core without a leader whose open connections carry nothing any more. */
  @ParameterizedTest
  @EnumSource(SilentRelay.Direction.class)
  void connectionThatGoesSilentIsReplacedWithinTheContactTime(SilentRelay.Direction direction)
      throws Exception {
    CountDownLatch hellos = new CountDownLatch(1);
    try (ReplicaConnections other = connections("other", new CountDownLatch(0));
        SilentRelay relay = new SilentRelay(address(other));
        ReplicaConnections own = connections("own", hellos)) {
      keepConnected(other);
      keepConnected(own, relay.address());
      assertThat(hellos.await(5, TimeUnit.SECONDS)).isTrue();
      assertThat(arrivesInTime(own, "other")).isTrue();

      relay.silence(direction);

      // Messages still arrive while only the responses are lost.
      long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONTACT_MS);
      while (relay.acceptedCount() < 2 && System.nanoTime() < deadline) {
        Thread.sleep(10);
      }
      assertThat(relay.acceptedCount()).isEqualTo(2);
      assertThat(arrivesInTime(own, "other")).isTrue();
    }
  }

  /** Guards against a replica to which nothing is sent although a connection is open. */
  @Test
  void secondAddressOfReplicaIsUsedWhenTheConnectionToTheFirstEnds() throws Exception {
    CountDownLatch hellos = new CountDownLatch(2);
    try (ReplicaConnections other = connections("other", new CountDownLatch(0));
        ReplicaConnections own = connections("own", hellos)) {
      keepConnected(other);
      try (SilentRelay relay = new SilentRelay(address(other))) {
        group.next().submit(() -> own.connectTo(Set.of(address(other)))).get();
        assertThat(arrivesInTime(own, "other")).isTrue();
        keepConnected(own, address(other), relay.address());
        assertThat(hellos.await(5, TimeUnit.SECONDS)).isTrue();
      }

      assertThat(arrivesInTime(own, "other")).isTrue();
    }
  }

  /** Guards against waiting for ever for a hello from a peer that accepts and never responds. */
  @Test
  void connectionWithoutHelloIsTriedAgain() throws Exception {
    try (ServerSocket mute = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ReplicaConnections own = connections("own", new CountDownLatch(0))) {
      mute.setSoTimeout(5_000);
      keepConnected(own, new Endpoint("127.0.0.1", mute.getLocalPort()));

      try (Socket first = mute.accept();
          Socket second = mute.accept()) {
        assertThat(first.getPort()).isNotEqualTo(second.getPort());
      }
    }
  }

  @Test
  void idleConnectionStaysOpen() throws Exception {
    CountDownLatch hellos = new CountDownLatch(1);
    try (ReplicaConnections other = connections("other", new CountDownLatch(0));
        SilentRelay relay = new SilentRelay(address(other));
        ReplicaConnections own = connections("own", hellos)) {
      keepConnected(other);
      keepConnected(own, relay.address());
      assertThat(hellos.await(5, TimeUnit.SECONDS)).isTrue();

      Thread.sleep(4 * CONTACT_MS);

      assertThat(relay.acceptedCount()).isEqualTo(1);
    }
  }

  /** Guards against a replica that is taken for linked because its dead connection is open. */
  @Test
  void acceptedConnectionThatGoesSilentIsNoLink() throws Exception {
    CountDownLatch hellos = new CountDownLatch(1);
    try (ReplicaConnections other = connections("other", hellos);
        SilentRelay relay = new SilentRelay(address(other));
        ReplicaConnections own = connections("own", new CountDownLatch(0))) {
      keepConnected(other);
      group.next().submit(() -> own.connectTo(Set.of(relay.address()))).get();
      assertThat(hellos.await(5, TimeUnit.SECONDS)).isTrue();
      assertThat(group.next().submit(() -> other.isLinked("own")).get()).isTrue();

      relay.silence(SilentRelay.Direction.REQUESTS);
      Thread.sleep(CONTACT_MS);

      assertThat(group.next().submit(() -> other.isLinked("own")).get()).isFalse();
    }
  }

  private static ReplicaMember member(String id, ReplicaConnections connections) {
    return ReplicaMember.newBuilder()
        .setId(id)
        .setHost("127.0.0.1")
        .setPort(connections.port())
        .build();
  }

  @Test
  void linkTellsWhichSideHasConnected() throws Exception {
    CountDownLatch hellos = new CountDownLatch(1);
    try (ReplicaConnections other = connections("other", new CountDownLatch(0));
        ReplicaConnections own = connections("own", hellos)) {
      group.next().submit(() -> own.connectTo(Set.of(address(other)))).get();
      assertThat(hellos.await(5, TimeUnit.SECONDS)).isTrue();

      ReplicaLinks.Link outbound =
          group.next().submit(() -> own.link(member("other", other))).get();
      ReplicaLinks.Link inbound = group.next().submit(() -> other.link(member("own", own))).get();

      assertThat(outbound.outbound()).isEqualTo(ReplicaLinks.Outbound.GREETED);
      assertThat(outbound.inbound()).isFalse();
      assertThat(inbound.outbound()).isEqualTo(ReplicaLinks.Outbound.NONE);
      assertThat(inbound.inbound()).isTrue();
    }
  }

  @Test
  void linkTellsThatAnotherReplicaHasTheAddressOfTheMember() throws Exception {
    CountDownLatch hellos = new CountDownLatch(1);
    try (ReplicaConnections other = connections("successor", new CountDownLatch(0));
        ReplicaConnections own = connections("own", hellos)) {
      group.next().submit(() -> own.connectTo(Set.of(address(other)))).get();
      assertThat(hellos.await(5, TimeUnit.SECONDS)).isTrue();

      ReplicaLinks.Link link = group.next().submit(() -> own.link(member("gone", other))).get();

      assertThat(link.outbound()).isEqualTo(ReplicaLinks.Outbound.OTHER_REPLICA);
    }
  }

  @Test
  void exceptionInTheHandlingOfMessagesIsCounted() throws Exception {
    CountDownLatch hellos = new CountDownLatch(1);
    try (ReplicaConnections other =
            new ReplicaConnections(
                group,
                ANY_PORT,
                "token",
                LinkLiveness.Timings.ofContact(CONTACT_MS),
                ReplicaHello::getDefaultInstance,
                hello -> {},
                message -> {
                  throw new IllegalStateException("expected by the test");
                });
        ReplicaConnections own = connections("own", hellos)) {
      group.next().submit(() -> own.connectTo(Set.of(address(other)))).get();
      assertThat(hellos.await(5, TimeUnit.SECONDS)).isTrue();
      group.next().submit(() -> own.send(ReplicaMessage.getDefaultInstance())).get();

      ReplicaLinks.Failures failures = awaitFailure(other);

      assertThat(failures.failed()).isEqualTo(1);
      assertThat(failures.last().orElseThrow().type()).isEqualTo("IllegalStateException");
    }
  }

  private ReplicaLinks.Failures awaitFailure(ReplicaConnections connections) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    ReplicaLinks.Failures failures = ReplicaLinks.Failures.NONE;
    while (failures.failed() == 0 && System.nanoTime() < deadline) {
      failures = group.next().submit(() -> connections.failures(System.nanoTime())).get();
    }
    return failures;
  }
}
