package org.waxwingbeam.peer.net;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.control.net.SilentRelay;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.peer.SoftRecord;
import org.waxwingbeam.settings.Endpoint;

class PeerNetworkTest {
  private static final long TIMEOUT_SECONDS = 30;
  private static final int CONTACT_MS = 2_000;
  private static final SoftRecord FIRST = record("a");
  private static final SoftRecord SECOND = record("b");

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<PeerNetwork> networks = new ArrayList<>();
  private volatile EntryView view = EntryView.EMPTY;

  @AfterEach
  void stop() {
    networks.forEach(PeerNetwork::close);
    group.shutdownGracefully(0, 5, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  @Test
  void recordReachesIndirectlyConnectedAndLaterInstances() throws Exception {
    BlockingQueue<String> received = new LinkedBlockingQueue<>();
    PeerNetwork zero = start("entry-0", "secret", received);
    zero.publish(FIRST);
    PeerNetwork one = start("entry-1", "secret", received);
    PeerNetwork two = start("entry-2", "secret", received);
    PeerNetwork three = start("entry-3", "secret", received);
    view = viewOf(zero, one, two, three);

    assertThat(takeNext(received, 3)).containsExactly("entry-1 a", "entry-2 a", "entry-3 a");

    three.publish(SECOND);

    assertThat(takeNext(received, 3)).containsExactly("entry-0 b", "entry-1 b", "entry-2 b");
  }

  @Test
  void instanceWithAnotherTokenReceivesNothing() throws Exception {
    BlockingQueue<String> received = new LinkedBlockingQueue<>();
    PeerNetwork zero = start("entry-0", "secret", received);
    PeerNetwork one = start("entry-1", "other", received);
    PeerNetwork two = start("entry-2", "secret", received);
    zero.publish(FIRST);
    view = viewOf(zero, one, two);

    assertThat(takeNext(received, 1)).containsExactly("entry-2 a");
    assertThat(received.poll(200, TimeUnit.MILLISECONDS)).isNull();
  }

  /** Guards against instances that share nothing any more over connections that are still open. */
  @ParameterizedTest
  @EnumSource(SilentRelay.Direction.class)
  void connectionThatGoesSilentIsReplaced(SilentRelay.Direction direction) throws Exception {
    BlockingQueue<String> received = new LinkedBlockingQueue<>();
    PeerNetwork zero = start("entry-0", "secret", received);
    PeerNetwork one = start("entry-1", "secret", received);
    zero.publish(FIRST);
    one.publish(FIRST);
    try (SilentRelay toZero = new SilentRelay(address(zero));
        SilentRelay toOne = new SilentRelay(address(one))) {
      view = viewOf(toZero.address(), toOne.address());
      zero.publish(SECOND);
      assertThat(takeNext(received, 1)).containsExactly("entry-1 b");

      toZero.silence(direction);
      toOne.silence(direction);
      Thread.sleep(CONTACT_MS);
      zero.publish(record("c"));
      one.publish(record("d"));

      assertThat(takeNext(received, 2)).containsExactly("entry-1 c", "entry-0 d");
    }
  }

  /** Guards against waiting for ever for an instance that stands still and does not respond. */
  @Test
  void connectionWithoutHelloIsTriedAgain() throws Exception {
    start("entry-0", "secret", new LinkedBlockingQueue<>());
    try (ServerSocket mute = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      mute.setSoTimeout(2 * CONTACT_MS);
      Endpoint muteAddress = new Endpoint("127.0.0.1", mute.getLocalPort());
      view = viewOf(address(networks.getFirst()), muteAddress, muteAddress);

      try (Socket first = mute.accept();
          Socket second = mute.accept();
          Socket third = mute.accept()) {
        assertThat(Set.of(first.getPort(), second.getPort(), third.getPort())).hasSize(3);
      }
    }
  }

  /** Guards against accepted connections that say nothing and use up the descriptors. */
  @Test
  void acceptedConnectionWithoutHelloIsClosed() throws Exception {
    PeerNetwork zero = start("entry-0", "secret", new LinkedBlockingQueue<>());
    try (Socket silent = new Socket(InetAddress.getLoopbackAddress(), zero.port())) {
      silent.setSoTimeout(CONTACT_MS);
      silent.getInputStream().readAllBytes();
    }
  }

  @Test
  void idleConnectionStaysOpen() throws Exception {
    BlockingQueue<String> received = new LinkedBlockingQueue<>();
    PeerNetwork zero = start("entry-0", "secret", received);
    PeerNetwork one = start("entry-1", "secret", received);
    zero.publish(FIRST);
    try (SilentRelay toZero = new SilentRelay(address(zero));
        SilentRelay toOne = new SilentRelay(address(one))) {
      view = viewOf(toZero.address(), toOne.address());
      assertThat(takeNext(received, 1)).containsExactly("entry-1 a");
      final int accepted = toZero.acceptedCount() + toOne.acceptedCount();

      Thread.sleep(2 * CONTACT_MS);

      assertThat(toZero.acceptedCount() + toOne.acceptedCount()).isEqualTo(accepted);
    }
  }

  private static Endpoint address(PeerNetwork network) {
    return new Endpoint("127.0.0.1", network.port());
  }

  private PeerNetwork start(String name, String token, BlockingQueue<String> received)
      throws InterruptedException {
    PeerNetwork network =
        new PeerNetwork(
            group,
            new PeerNetwork.Identity(new InstanceName(name), token),
            new Endpoint("127.0.0.1", 0),
            LinkLiveness.Timings.ofContact(CONTACT_MS),
            () -> view,
            record -> received.add(name + " " + record.key()));
    networks.add(network);
    return network;
  }

  private static EntryView viewOf(PeerNetwork... networks) {
    return viewOf(Arrays.stream(networks).map(PeerNetworkTest::address).toArray(Endpoint[]::new));
  }

  private static EntryView viewOf(Endpoint... addresses) {
    List<EntryView.Member> members = new ArrayList<>();
    for (Endpoint address : addresses) {
      members.add(
          new EntryView.Member(
              new InstanceName("entry-" + members.size()), new DataCentreName("north"), address));
    }
    return new EntryView(1, members);
  }

  private static List<String> takeNext(BlockingQueue<String> received, int count) throws Exception {
    List<String> taken = new ArrayList<>();
    while (taken.size() < count) {
      String next = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      taken.add(String.valueOf(next));
    }
    return taken;
  }

  private static SoftRecord record(String key) {
    return new SoftRecord(SoftRecord.Kind.WARMTH, key, 1, 1, ByteString.EMPTY, 60_000);
  }
}
