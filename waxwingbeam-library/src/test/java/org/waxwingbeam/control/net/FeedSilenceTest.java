package org.waxwingbeam.control.net;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.MessageLite;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.feed.ControlFrame;
import org.waxwingbeam.wire.feed.ControlPulse;
import org.waxwingbeam.wire.feed.EntryFrame;
import org.waxwingbeam.wire.feed.EntryGreeting;
import org.waxwingbeam.wire.feed.EntryPulse;
import org.waxwingbeam.wire.feed.TargetRecord;
import org.waxwingbeam.wire.routing.RoutingState;

/** Connections between entry instances and control replicas that are open but silent or slow. */
class FeedSilenceTest {
  private static final int CONTACT_MS = 3_000;
  private static final LinkLiveness.Timings LINK_TIMINGS =
      LinkLiveness.Timings.ofContact(CONTACT_MS);
  private static final long TICK_MS = 20;
  private static final long PULSE_MS = 200;
  private static final int LARGE_FRAME_BYTES = 1 << 20;
  private static final EntryGreeting GREETING = EntryGreeting.newBuilder().setName("front").build();

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final CountDownLatch routings = new CountDownLatch(1);

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @ParameterizedTest
  @EnumSource(SilentRelay.Direction.class)
  void connectionThatGoesSilentIsReplacedWithinTheContactTime(SilentRelay.Direction direction)
      throws Exception {
    FeedServer server = startServer();
    try (SilentRelay relay = new SilentRelay(new Endpoint("127.0.0.1", server.port()))) {
      startClient(relay.address());
      awaitAccepted(relay, 1);
      Thread.sleep(PULSE_MS);

      relay.silence(direction);
      awaitAccepted(relay, 2);

      assertThat(group.next().submit(server::entryCount).get()).isEqualTo(1);
    }
  }

  /** Guards against accepted connections that say nothing and use up the descriptors. */
  @Test
  void acceptedConnectionWithoutGreetingIsClosed() throws Exception {
    FeedServer server = startServer();
    try (Socket silent = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      silent.setSoTimeout(CONTACT_MS);
      silent.getInputStream().readAllBytes();
    }
  }

  /** Guards against an entry instance that never gets a large state over a thin link. */
  @Test
  void largeFrameThatArrivesSlowlyDoesNotEndTheConnection() throws Exception {
    ControlFrame large =
        ControlFrame.newBuilder()
            .setRouting(
                RoutingState.newBuilder()
                    .setRevision(1)
                    .addDataCentresOut("a".repeat(LARGE_FRAME_BYTES)))
            .build();
    try (ServerSocket replica = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      startClient(new Endpoint("127.0.0.1", replica.getLocalPort()));
      try (Socket connection = replica.accept()) {
        DataOutputStream out = new DataOutputStream(connection.getOutputStream());
        out.writeInt(large.getSerializedSize());
        byte[] bytes = large.toByteArray();
        int step = Math.toIntExact(bytes.length * PULSE_MS / CONTACT_MS);
        for (int sent = 0; sent < bytes.length; sent += step) {
          out.write(bytes, sent, Math.min(step, bytes.length - sent));
          Thread.sleep(PULSE_MS);
        }

        assertThat(routings.await(1, TimeUnit.SECONDS)).isTrue();
      }
    }
  }

  /** Guards against a process that drops every connection when it goes on after a pause. */
  @Test
  void clientThatStoodStillKeepsItsConnection() throws Exception {
    try (ServerSocket replica = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      FeedClient client = startClient(new Endpoint("127.0.0.1", replica.getLocalPort()));
      replica.setSoTimeout(CONTACT_MS);
      try (Socket connection = replica.accept()) {
        ControlFrame pulse =
            ControlFrame.newBuilder().setPulse(ControlPulse.getDefaultInstance()).build();
        standStillWhileReceiving(connection, pulse, client::tick);
        replica.setSoTimeout(1_000);

        assertThrows(SocketTimeoutException.class, replica::accept);
      }
    }
  }

  @Test
  void serverThatStoodStillKeepsItsConnections() throws Exception {
    FeedServer server = startServer();
    try (Socket entry = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      write(entry, EntryFrame.newBuilder().setGreeting(GREETING).build());
      EntryFrame pulse = EntryFrame.newBuilder().setPulse(EntryPulse.getDefaultInstance()).build();
      standStillWhileReceiving(entry, pulse, server::tick);

      assertThat(group.next().submit(server::entryCount).get()).isEqualTo(1);
    }
  }

  /**
   * Blocks the event loop for the contact time while the other end goes on sending. The timer then
   * runs before anything is read, as it may when a process that was stopped goes on.
   */
  private void standStillWhileReceiving(Socket connection, MessageLite pulse, LongConsumer tick)
      throws Exception {
    write(connection, pulse);
    Thread.sleep(PULSE_MS);
    var still =
        group
            .next()
            .submit(
                () -> {
                  Thread.sleep(CONTACT_MS);
                  tick.accept(System.nanoTime());
                  return true;
                });
    while (!still.isDone()) {
      write(connection, pulse);
      Thread.sleep(PULSE_MS);
    }
    for (long waitedMs = 0; waitedMs < 1_000; waitedMs += PULSE_MS) {
      write(connection, pulse);
      Thread.sleep(PULSE_MS);
    }
  }

  private static void write(Socket connection, MessageLite frame) throws IOException {
    DataOutputStream out = new DataOutputStream(connection.getOutputStream());
    out.writeInt(frame.getSerializedSize());
    out.write(frame.toByteArray());
  }

  private static void awaitAccepted(SilentRelay relay, int count) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONTACT_MS);
    while (relay.acceptedCount() < count && System.nanoTime() < deadline) {
      Thread.sleep(TICK_MS);
    }
    assertThat(relay.acceptedCount()).isEqualTo(count);
    Thread.sleep(PULSE_MS);
  }

  private FeedServer startServer() {
    FeedServer server =
        new FeedServer(
            group, new Endpoint("127.0.0.1", 0), LINK_TIMINGS, new Source(), (entry, frame) -> {});
    tickEvery(() -> server.tick(System.nanoTime()));
    return server;
  }

  private FeedClient startClient(Endpoint replica) {
    FeedClient client =
        new FeedClient(group.next(), GREETING, List.of(replica), LINK_TIMINGS, new Listener());
    tickEvery(() -> client.tick(System.nanoTime()));
    return client;
  }

  private void tickEvery(Runnable task) {
    var unused = group.next().scheduleAtFixedRate(task, 0, TICK_MS, TimeUnit.MILLISECONDS);
  }

  private static final class Source implements FeedServer.Source {
    @Override
    public RoutingState routing() {
      return RoutingState.getDefaultInstance();
    }

    @Override
    public List<TargetRecord> targets() {
      return List.of();
    }

    @Override
    public List<String> replicas() {
      return List.of();
    }
  }

  private final class Listener implements FeedClient.Listener {
    @Override
    public void receive(Endpoint replica, ControlFrame frame) {
      if (frame.hasRouting()) {
        routings.countDown();
      }
    }

    @Override
    public long appliedRevision() {
      return 0;
    }

    @Override
    public void onConnectedCountChanged(int replicas) {}

    @Override
    public void onDisconnected(Endpoint replica) {}
  }
}
