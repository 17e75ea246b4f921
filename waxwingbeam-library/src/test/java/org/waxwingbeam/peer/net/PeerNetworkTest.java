package org.waxwingbeam.peer.net;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.peer.SoftRecord;
import org.waxwingbeam.settings.Endpoint;

class PeerNetworkTest {
  private static final long TIMEOUT_SECONDS = 30;
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
  void recordReachesInstancesThatAreNotConnectedDirectlyAndThoseThatJoinLater() throws Exception {
    BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    PeerNetwork zero = start("entry-0", "secret", heard);
    zero.publish(FIRST);
    PeerNetwork one = start("entry-1", "secret", heard);
    PeerNetwork two = start("entry-2", "secret", heard);
    PeerNetwork three = start("entry-3", "secret", heard);
    view = viewOf(zero, one, two, three);

    assertThat(take(heard, 3)).containsExactly("entry-1 a", "entry-2 a", "entry-3 a");

    three.publish(SECOND);

    assertThat(take(heard, 3)).containsExactly("entry-0 b", "entry-1 b", "entry-2 b");
  }

  @Test
  void instanceWithAnotherTokenHearsNothing() throws Exception {
    BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    PeerNetwork zero = start("entry-0", "secret", heard);
    PeerNetwork one = start("entry-1", "other", heard);
    PeerNetwork two = start("entry-2", "secret", heard);
    zero.publish(FIRST);
    view = viewOf(zero, one, two);

    assertThat(take(heard, 1)).containsExactly("entry-2 a");
    assertThat(heard.poll(200, TimeUnit.MILLISECONDS)).isNull();
  }

  private PeerNetwork start(String name, String token, BlockingQueue<String> heard)
      throws InterruptedException {
    PeerNetwork network =
        new PeerNetwork(
            group,
            new PeerNetwork.Identity(new InstanceName(name), token),
            new Endpoint("127.0.0.1", 0),
            () -> view,
            record -> heard.add(name + " " + record.key()));
    networks.add(network);
    return network;
  }

  private static EntryView viewOf(PeerNetwork... networks) {
    List<EntryView.Member> members = new ArrayList<>();
    for (PeerNetwork network : networks) {
      members.add(
          new EntryView.Member(
              new InstanceName("entry-" + members.size()),
              new DataCentreName("north"),
              new Endpoint("127.0.0.1", network.port())));
    }
    return new EntryView(1, members);
  }

  private static List<String> take(BlockingQueue<String> heard, int count) throws Exception {
    List<String> taken = new ArrayList<>();
    while (taken.size() < count) {
      String next = heard.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      taken.add(String.valueOf(next));
    }
    return taken;
  }

  private static SoftRecord record(String key) {
    return new SoftRecord(SoftRecord.Kind.WARMTH, key, 1, 1, ByteString.EMPTY, 60_000);
  }
}
