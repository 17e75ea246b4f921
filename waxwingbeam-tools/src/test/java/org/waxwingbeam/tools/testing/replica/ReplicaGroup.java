package org.waxwingbeam.tools.testing.replica;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.MembershipCoordinator;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaRole;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.replica.VoterSetManager;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/**
 * Replicas that manage their voters, on simulated disks and one manual clock. Messages arrive in
 * the next step, in order.
 */
final class ReplicaGroup {
  static final long CATCH_UP_MS = 4_000;
  static final int VOTERS = 5;

  private static final long STEP_MS = 10;

  private final Map<Integer, Node> nodes = new TreeMap<>();
  private final Set<Integer> frozen = new HashSet<>();
  private final Map<Integer, Long> delayMs = new TreeMap<>();
  private final Set<Integer> leaving = new HashSet<>();
  private final List<Sent> messages = new ArrayList<>();
  private final List<Set<String>> voterSets = new ArrayList<>();
  private long nowMs;

  private record Node(
      int address, Replica replica, MembershipCoordinator coordinator, VoterSetManager manager) {
    ReplicaMember member() {
      return ReplicaMember.newBuilder()
          .setId(replica.id())
          .setHost("127.0.0.1")
          .setPort(address)
          .build();
    }
  }

  private record Sent(int from, long arrivalMs, ReplicaMessage message) {}

  /** Starts a group whose voters are the replicas at the addresses 1 to {@link #VOTERS}. */
  ReplicaGroup() throws IOException {
    for (int address = 1; address <= VOTERS; address++) {
      start(address);
    }
    List<ReplicaMember> voters = nodes.values().stream().map(Node::member).toList();
    nodes.values().forEach(each -> each.replica().createLog(voters));
    await(10_000, () -> leader().isPresent());
    run(1_000);
    voterSets.clear();
  }

  /** Starts a replica with an empty disk. */
  void start(int address) throws IOException {
    String id = "replica-%d-%d".formatted(address, nowMs);
    Replica replica =
        new Replica(
            Journal.open(new SimulatedFolder(SimulatedFolder.DiskFaults.NONE), () -> id),
            new ReplicatedState(new CountingClaims()),
            new SplittableRandom(address),
            Replica.Options.DEFAULT,
            entry -> {},
            nanos());
    MembershipCoordinator coordinator = new MembershipCoordinator(replica);
    VoterSetManager manager =
        new VoterSetManager(
            replica, coordinator, VOTERS, TimeUnit.MILLISECONDS.toNanos(CATCH_UP_MS));
    nodes.put(address, new Node(address, replica, coordinator, manager));
  }

  /** Ends a replica; its disk is lost. */
  void stop(int address) {
    nodes.remove(address);
    messages.removeIf(each -> each.from() == address);
  }

  /** Makes a replica stand still; messages to it wait. */
  void freeze(int address) {
    frozen.add(address);
  }

  void wake(int address) {
    frozen.remove(address);
  }

  /** Delays everything that a replica sends. */
  void slow(int address, long milliseconds) {
    delayMs.put(address, milliseconds);
  }

  /** Makes a replica say that it leaves. */
  void leave(int address) {
    leaving.add(address);
    nodes.get(address).replica().resign(nanos());
  }

  void run(long milliseconds) {
    long end = nowMs + milliseconds;
    while (nowMs < end) {
      step();
    }
  }

  /** Runs until a condition holds; fails if it does not within a time. */
  void await(long milliseconds, BooleanSupplier condition) {
    long end = nowMs + milliseconds;
    while (!condition.getAsBoolean()) {
      if (nowMs >= end) {
        throw new AssertionError(
            "not within %d ms; voters %s, running %s"
                .formatted(milliseconds, voters(), nodes.keySet()));
      }
      step();
    }
  }

  private void step() {
    nowMs += STEP_MS;
    List<Sent> arrived = messages.stream().filter(this::arrives).toList();
    messages.removeAll(arrived);
    List.copyOf(nodes.values()).stream()
        .filter(each -> !frozen.contains(each.address()))
        .forEach(each -> runNode(each, arrived));
    leader()
        .map(address -> nodes.get(address).replica().membership())
        .map(ReplicaGroup::ids)
        .filter(ids -> voterSets.isEmpty() || !voterSets.getLast().equals(ids))
        .ifPresent(voterSets::add);
  }

  private boolean arrives(Sent sent) {
    boolean receiverFrozen =
        frozen.stream()
            .map(nodes::get)
            .anyMatch(each -> each != null && each.replica().id().equals(sent.message().getTo()));
    return sent.arrivalMs() <= nowMs && !receiverFrozen;
  }

  private void runNode(Node node, List<Sent> arrived) {
    Replica replica = node.replica();
    arrived.stream()
        .map(Sent::message)
        .filter(each -> each.getTo().equals(replica.id()))
        .forEach(each -> replica.receive(nanos(), each));
    node.manager().tick(nanos(), hellosOfOthers(node), id -> true);
    replica.tick(nanos());
    long arrivalMs = nowMs + STEP_MS + delayMs.getOrDefault(node.address(), 0L);
    replica.flush(nanos()).forEach(each -> messages.add(new Sent(node.address(), arrivalMs, each)));
  }

  private List<ReplicaHello> hellosOfOthers(Node node) {
    return nodes.values().stream()
        .filter(each -> !each.equals(node))
        .map(
            each ->
                ReplicaHello.newBuilder()
                    .setMember(each.member())
                    .setLeaving(leaving.contains(each.address()))
                    .build())
        .toList();
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  /** Returns the address of the replica that leads and may serve reads. */
  Optional<Integer> leader() {
    return nodes.values().stream()
        .filter(each -> !frozen.contains(each.address()))
        .filter(each -> each.replica().role() == ReplicaRole.LEADER)
        .filter(each -> each.replica().holdsLeaderLease(nanos()))
        .map(Node::address)
        .findFirst();
  }

  /** Returns the lowest addresses of running replicas that do not lead. */
  List<Integer> followers() {
    return nodes.keySet().stream().filter(each -> !leader().equals(Optional.of(each))).toList();
  }

  /** Returns the ids of the voters at the leader, or none if there is no leader. */
  Set<String> voters() {
    return leader().map(address -> ids(nodes.get(address).replica().membership())).orElse(Set.of());
  }

  /** Returns the id of the replica at an address. */
  String id(int address) {
    return nodes.get(address).replica().id();
  }

  /** Returns whether exactly the replicas at some addresses are the voters. */
  boolean votersAre(Integer... addresses) {
    return voters().equals(Set.of(addresses).stream().map(this::id).collect(Collectors.toSet()));
  }

  /** Returns how often the voters have changed since the start. */
  int voterChanges() {
    return Math.max(0, voterSets.size() - 1);
  }

  private static Set<String> ids(Membership membership) {
    return membership.getVotersList().stream()
        .map(ReplicaMember::getId)
        .collect(Collectors.toSet());
  }

  /** Returns the addresses from 1 to a number but for some. */
  static Integer[] addresses(int last, Integer... without) {
    return IntStream.rangeClosed(1, last)
        .boxed()
        .filter(each -> !List.of(without).contains(each))
        .toArray(Integer[]::new);
  }
}
