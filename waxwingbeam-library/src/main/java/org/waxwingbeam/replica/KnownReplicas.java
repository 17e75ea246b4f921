package org.waxwingbeam.replica;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMember;

/**
 * Collects the hellos of other replicas and decides whether this replica creates the log.
 *
 * <p>The replica at the first initial address creates the log once all other initial replicas have
 * reported that they never belonged to one. A replica that has lost its disk reports the same, but
 * it finds replicas that belong to a log, and so never creates a second one.
 *
 * @since 0.1.0
 */
public final class KnownReplicas {
  private final List<Endpoint> initial;
  private final boolean mayCreate;
  private final Map<String, ReplicaHello> helloByAddress = new TreeMap<>();

  /**
   * Creates an empty collection.
   *
   * @param initial the addresses of the initial voters
   * @param mayCreate whether this replica may create a log at all
   */
  public KnownReplicas(List<Endpoint> initial, boolean mayCreate) {
    this.initial = List.copyOf(initial);
    this.mayCreate = mayCreate;
  }

  /** Records the hello of a replica, which replaces an earlier one from the same address. */
  public void recordHello(ReplicaHello hello) {
    helloByAddress.put(address(hello.getMember()).toString(), hello);
  }

  /** Returns the address at which a member listens for other replicas. */
  public static Endpoint address(ReplicaMember member) {
    return new Endpoint(member.getHost(), member.getPort());
  }

  /**
   * Returns the initial voters if this replica must create the log now.
   *
   * @param own this replica
   * @param ownAddress its address as given in the settings
   */
  public Optional<List<ReplicaMember>> initialVoters(ReplicaMember own, Endpoint ownAddress) {
    if (!mayCreate || initial.isEmpty() || !initial.getFirst().equals(ownAddress)) {
      return Optional.empty();
    }
    List<ReplicaMember> voters =
        Stream.concat(
                Stream.of(own),
                initial.stream()
                    .skip(1)
                    .map(each -> helloByAddress.get(each.toString()))
                    .filter(hello -> hello != null && hello.getFresh())
                    .map(ReplicaHello::getMember))
            .toList();
    return voters.size() == initial.size() ? Optional.of(voters) : Optional.empty();
  }

  /** Returns the newest hello of each replica, in the order of their addresses. */
  public List<ReplicaHello> all() {
    return List.copyOf(helloByAddress.values());
  }

  /** Returns the addresses of the members of the log that other replicas have reported. */
  public Stream<Endpoint> reportedAddresses() {
    return helloByAddress.values().stream()
        .flatMap(hello -> hello.getMembersList().stream())
        .map(KnownReplicas::address);
  }

  /** Returns the newest hello of the replica with an id. */
  public Optional<ReplicaHello> byId(String id) {
    return helloByAddress.values().stream()
        .filter(hello -> hello.getMember().getId().equals(id))
        .findFirst();
  }
}
