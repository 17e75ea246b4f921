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
 * Holds what each connected control replica says of the other entry instances. The list of the
 * replica that knows most entry instances counts: one that has just started knows few.
 *
 * <pre>{@code
 * lists.put(replica, frame.getLoadPeers());
 * loads.sendTo(lists.addresses());
 * }</pre>
 *
 * @since 0.1.0
 */
public final class LoadPeerLists {
  private final Map<Endpoint, LoadPeers> byReplica = new HashMap<>();

  /** Creates an empty collection of lists. */
  public LoadPeerLists() {}

  /** Takes the newest list of a replica. */
  public void put(Endpoint replica, LoadPeers list) {
    byReplica.put(replica, list);
  }

  /** Forgets the list of a replica whose connection has ended, unless it is the last one. */
  public void remove(Endpoint replica) {
    if (byReplica.size() > 1) {
      byReplica.remove(replica);
    }
  }

  /** Returns the entry instances to which load reports are sent, as host:port. */
  public List<String> addresses() {
    return widest().map(LoadPeers::getAddressesList).map(List::copyOf).orElse(List.of());
  }

  /** Returns which targets' status this entry instance checks first, once a replica has told it. */
  public Optional<ProbeAssignment> duty() {
    return widest()
        .filter(each -> each.getEntries() > 0)
        .map(each -> new ProbeAssignment(each.getPosition(), each.getEntries()));
  }

  private Optional<LoadPeers> widest() {
    return byReplica.values().stream().max(Comparator.comparingInt(LoadPeers::getEntries));
  }
}
