package org.waxwingbeam.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.settings.Endpoint;

class PeerTopologyTest {
  private final EntryView view =
      new EntryView(1, IntStream.range(0, 9).mapToObj(PeerTopologyTest::member).toList());

  @Test
  void othersConnectToTheHubsOfTheirDataCentre() {
    assertThat(peersToConnect("entry-6")).containsExactly("entry-0", "entry-3");
  }

  @Test
  void hubsConnectToTheHubsWithHigherNames() {
    assertThat(peersToConnect("entry-0"))
        .containsExactly("entry-3", "entry-1", "entry-4", "entry-2", "entry-5");
    assertThat(peersToConnect("entry-4")).containsExactly("entry-5");
  }

  @Test
  void instanceOutsideTheViewConnectsToNone() {
    assertThat(peersToConnect("entry-9")).isEmpty();
  }

  private List<String> peersToConnect(String self) {
    return PeerTopology.peersToConnect(view, new InstanceName(self)).stream()
        .map(each -> each.name().value())
        .toList();
  }

  private static EntryView.Member member(int index) {
    return new EntryView.Member(
        new InstanceName("entry-" + index),
        new DataCentreName("dc-" + index % 3),
        new Endpoint("127.0.0.1", 7000 + index));
  }
}
