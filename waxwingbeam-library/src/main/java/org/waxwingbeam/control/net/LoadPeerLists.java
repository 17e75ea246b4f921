package org.waxwingbeam.control.net;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.target.placement.ProbeAssignment;
import org.waxwingbeam.wire.feed.LoadPeers;

/**
 * Holds the list of load-report receivers that each connected control replica has sent. The list of
 * the replica that knows the most entry instances is used, since a replica that has just started
 * knows few.
 *
 * <pre>{@code
 * lists.put(replica, frame.getLoadPeers());
 * loads.setPeers(lists.addresses());
 * }</pre>
 *
 * @since 0.1.0
 */
public final class LoadPeerLists {
  private final Map<Endpoint, LoadPeers> byReplica = new HashMap<>();

  /** Creates an empty collection of lists. */
  public LoadPeerLists() {}

  /** Replaces the list of a replica. */
  public void put(Endpoint replica, LoadPeers list) {
    byReplica.put(replica, list);
  }

  /** Removes the list of a replica whose connection has ended, unless it is the only list. */
  public void remove(Endpoint replica) {
    if (byReplica.size() > 1) {
      byReplica.remove(replica);
    }
  }

  /** Returns the entry instances to which load reports are sent, as host:port. */
  public List<String> addresses() {
    return listWithMostEntries()
        .map(LoadPeers::getAddressesList)
        .map(List::copyOf)
        .orElse(List.of());
  }

  /** Returns whether the lists name every other entry instance, so that all receive each report. */
  public boolean nameAllOthers() {
    return listWithMostEntries()
        .filter(each -> each.getAddressesCount() < each.getEntries() - 1)
        .isEmpty();
  }

  /** Returns this entry instance's share of the status checks, once a replica has sent a list. */
  public Optional<ProbeAssignment> probeAssignment() {
    return listWithMostEntries()
        .filter(each -> each.getEntries() > 0)
        .map(each -> new ProbeAssignment(each.getPosition(), each.getEntries()));
  }

  private Optional<LoadPeers> listWithMostEntries() {
    return byReplica.values().stream().max(Comparator.comparingInt(LoadPeers::getEntries));
  }
}
