package org.waxwingbeam.replica;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMember;

/**
 * Decides to which addresses a replica connects, what its hello says and when it is repeated, and
 * when the replica may depart.
 *
 * @since 0.1.0
 */
public final class ReplicaPeers {
  private static final long ANNOUNCE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Replica replica;
  private final KnownReplicas knownReplicas;
  private final Endpoint entryAddress;
  private final Set<Endpoint> configuredAddresses;
  private boolean wasUninitialized = true;
  private boolean couldJoin = true;
  private long nextAnnounceNanos;

  /**
   * Creates an instance without any added address.
   *
   * @param replica the local replica
   * @param knownReplicas the hellos of the others
   * @param entryAddress the address at which the local replica listens for entry instances
   * @param initialAddresses the addresses of the initial voters
   */
  public ReplicaPeers(
      Replica replica,
      KnownReplicas knownReplicas,
      Endpoint entryAddress,
      List<Endpoint> initialAddresses) {
    this.replica = replica;
    this.knownReplicas = knownReplicas;
    this.entryAddress = entryAddress;
    configuredAddresses = new HashSet<>(initialAddresses);
  }

  /** Adds addresses at which to look for other replicas. */
  public void addAddresses(List<Endpoint> addresses) {
    configuredAddresses.addAll(addresses);
  }

  /**
   * Returns the hello of the local replica, without the credential.
   *
   * @param own the local replica with the address at which it listens
   * @param leaving whether its process is about to end on request
   */
  public ReplicaHello hello(ReplicaMember own, boolean leaving) {
    return ReplicaHello.newBuilder()
        .setMember(own)
        .setFresh(replica.isUninitialized())
        .setMayJoin(replica.mayJoin())
        .setLeaving(leaving)
        .addAllMembers(replica.membership().getVotersList())
        .addAllMembers(replica.membership().getLearnersList())
        .setEntriesHost(entryAddress.host())
        .setEntriesPort(entryAddress.port())
        .build();
  }

  /**
   * Returns the addresses to which there should be connections.
   *
   * @param nowNanos the current time
   * @param own the address at which the local replica listens
   */
  public Set<Endpoint> otherAddresses(long nowNanos, Endpoint own) {
    Stream<Endpoint> members =
        Stream.concat(
                replica.membership().getVotersList().stream(),
                replica.membership().getLearnersList().stream())
            .map(KnownReplicas::address);
    Stream<Endpoint> reported =
        replica.hasQuorumContact(nowNanos) ? Stream.empty() : knownReplicas.reportedAddresses();
    // The members that this replica knows may lack the leader, which needs its replies.
    Stream<Endpoint> leader =
        replica
            .leaderId()
            .flatMap(knownReplicas::byId)
            .map(ReplicaHello::getMember)
            .map(KnownReplicas::address)
            .stream();
    return Stream.of(configuredAddresses.stream(), members, reported, leader)
        .flatMap(each -> each)
        .filter(each -> !each.equals(own) && each.port() > 0)
        .collect(Collectors.toSet());
  }

  /**
   * Returns whether the hello must be repeated now because something in it has changed or the
   * replica has not joined yet. The caller then repeats it.
   *
   * @param nowNanos the current time
   */
  public boolean takeAnnouncement(long nowNanos) {
    boolean changed =
        (wasUninitialized && !replica.isUninitialized()) || couldJoin != replica.mayJoin();
    boolean due = changed || (replica.isUninitialized() && nowNanos - nextAnnounceNanos >= 0);
    if (due) {
      wasUninitialized = replica.isUninitialized();
      couldJoin = replica.mayJoin();
      nextAnnounceNanos = nowNanos + ANNOUNCE_INTERVAL_NANOS;
    }
    return due;
  }

  /**
   * Returns whether the local replica's process may end on request: the replica does not vote, or
   * no learner can replace it.
   *
   * @param isLinked returns whether there is a connection with the replica that has an id
   */
  public boolean mayDepart(Predicate<String> isLinked) {
    Membership membership = replica.membership();
    return !Memberships.isVoter(membership, replica.id())
        || membership.getLearnersList().stream().map(ReplicaMember::getId).noneMatch(isLinked);
  }
}
