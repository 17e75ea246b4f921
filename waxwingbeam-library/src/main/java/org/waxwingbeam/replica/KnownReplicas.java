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
 * Collects what other replicas have said of themselves, and decides who creates the log.
 *
 * <p>The replica at the first of the initial addresses creates the log, once every initial replica
 * has said that it is fresh. A replica whose disk was lost is fresh again; it finds replicas that
 * are not, and so never creates a second log.
 *
 * @since 0.1.0
 */
public final class KnownReplicas {
  private final List<Endpoint> initial;
  private final boolean mayCreate;
  private final Map<String, ReplicaHello> helloByAddress = new TreeMap<>();

  /**
   * Starts without knowing any replica.
   *
   * @param initial the addresses of the first voters
   * @param mayCreate whether this replica may create a log at all
   */
  public KnownReplicas(List<Endpoint> initial, boolean mayCreate) {
    this.initial = List.copyOf(initial);
    this.mayCreate = mayCreate;
  }

  /** Notes what a replica has said; it replaces what its address had said before. */
  public void recordHello(ReplicaHello hello) {
    helloByAddress.put(address(hello.getMember()).toString(), hello);
  }

  /** Returns the address at which a member takes other replicas. */
  public static Endpoint address(ReplicaMember member) {
    return new Endpoint(member.getHost(), member.getPort());
  }

  /**
   * Returns the first voters if a replica is to create the log now.
   *
   * @param own the replica
   * @param ownAddress its address as the settings have it
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

  /** Returns the replicas that have said who they are, in the order of their addresses. */
  public List<ReplicaHello> all() {
    return List.copyOf(helloByAddress.values());
  }

  /** Returns what the replica with an id has said. */
  public Optional<ReplicaHello> byId(String id) {
    return helloByAddress.values().stream()
        .filter(hello -> hello.getMember().getId().equals(id))
        .findFirst();
  }
}
