package org.waxwingbeam.peer;

import java.util.List;
import java.util.stream.Stream;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.control.EntryView.Member;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;

/**
 * Decides which entry instances connect to each other. The first two of each data centre, by name,
 * are its hubs: the others connect to the hubs of their own data centre, and each hub connects to
 * all other hubs. Except for hubs, the number of connections of an instance does not grow with the
 * number of entry instances.
 *
 * @since 0.1.0
 */
public final class PeerTopology {
  private static final int HUBS_PER_DATA_CENTRE = 2;

  private PeerTopology() {}

  /**
   * Returns the instances to which an entry instance opens a connection. Between two hubs, the one
   * with the lower name opens the connection.
   *
   * @param view the live entry instances
   * @param self the entry instance
   */
  public static List<Member> peersToConnect(EntryView view, InstanceName self) {
    return view.members().stream()
        .filter(each -> each.name().equals(self))
        .findFirst()
        .map(member -> peersToConnect(view, member).toList())
        .orElse(List.of());
  }

  private static Stream<Member> peersToConnect(EntryView view, Member self) {
    List<Member> own = hubs(view, self.dataCentre());
    if (!own.contains(self)) {
      return own.stream();
    }
    return view.members().stream()
        .map(Member::dataCentre)
        .distinct()
        .flatMap(dataCentre -> hubs(view, dataCentre).stream())
        .filter(hub -> self.name().compareTo(hub.name()) < 0);
  }

  private static List<Member> hubs(EntryView view, DataCentreName dataCentre) {
    return view.members().stream()
        .filter(each -> each.dataCentre().equals(dataCentre))
        .limit(HUBS_PER_DATA_CENTRE)
        .toList();
  }
}
