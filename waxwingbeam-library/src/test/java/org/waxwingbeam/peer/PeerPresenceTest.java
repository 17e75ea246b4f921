package org.waxwingbeam.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.settings.Endpoint;

class PeerPresenceTest {
  private static final long MS = 1_000_000;
  private static final EntryView FIVE = view("e1", "e2", "e3", "e4", "e5");

  private final PeerPresence peers = new PeerPresence(new InstanceName("e1"), 1);

  @Test
  void fewerThanHalfOfTheOthersIsMinority() {
    receivePresence(0, "e2");

    assertThat(peers.isInMinority(0, FIVE)).isTrue();
  }

  @Test
  void halfOfTheOthersIsNotMinority() {
    receivePresence(0, "e2");
    receivePresence(0, "e3");

    assertThat(peers.isInMinority(0, FIVE)).isFalse();
  }

  @Test
  void presenceExpiresAfterItsTimeToLive() {
    receivePresence(0, "e2");
    receivePresence(0, "e3");

    assertThat(peers.isInMinority(1_999 * MS, FIVE)).isFalse();
    assertThat(peers.isInMinority(2_000 * MS, FIVE)).isTrue();
  }

  @Test
  void instancesOutsideTheViewDoNotCount() {
    receivePresence(0, "e8");
    receivePresence(0, "e9");

    assertThat(peers.isInMinority(0, FIVE)).isTrue();
  }

  @Test
  void onlyInstanceIsNotMinority() {
    assertThat(peers.isInMinority(0, view("e1"))).isFalse();
  }

  @Test
  void recordsOfOtherKindsDoNotShowPresence() {
    peers.receive(0, new SoftRecord(SoftRecord.Kind.WARMTH, "e2", 1, 1, ByteString.EMPTY, 2_000));

    assertThat(peers.isInMinority(0, view("e1", "e2"))).isTrue();
  }

  private void receivePresence(long nowNanos, String name) {
    peers.receive(nowNanos, new PeerPresence(new InstanceName(name), 1).nextPresenceRecord());
  }

  private static EntryView view(String... names) {
    List<EntryView.Member> members =
        Stream.of(names)
            .map(
                name ->
                    new EntryView.Member(
                        new InstanceName(name),
                        new DataCentreName("north"),
                        new Endpoint("127.0.0.1", 0)))
            .toList();
    return new EntryView(1, members);
  }
}
