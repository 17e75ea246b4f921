package org.waxwingbeam.tools.testing.replica;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.KnownReplicas;
import org.waxwingbeam.replica.MembershipCoordinator;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaPeers;
import org.waxwingbeam.replica.ReplicaRole;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.replica.VoterSetManager;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.replica.LogEntry;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/** The process of a control replica with its decisions about voters and connections. */
final class CoreProcess {
  static final int VOTERS = 5;
  static final long CATCH_UP_MS = 4_000;

  private static final String HOST = "127.0.0.1";
  private static final long TICK_MS = 20;

  private final int address;
  private final Replica replica;
  private final ReplicatedState state;
  private final KnownReplicas knownReplicas;
  private final VoterSetManager manager;
  private final ReplicaPeers peers;
  private final SimulatedConnections connections;
  private long nowMs;
  private long nextTickMs;
  private boolean leaving;

  CoreProcess(
      int address,
      Journal journal,
      CoreMachine.Settings settings,
      LinkNetwork network,
      RandomGenerator random,
      Consumer<LogEntry> appliedListener,
      long nowMs)
      throws IOException {
    this.address = address;
    this.nowMs = nowMs;
    state = new ReplicatedState(new CountingClaims());
    replica = new Replica(journal, state, random, settings.options(), appliedListener, nanos());
    MembershipCoordinator coordinator = new MembershipCoordinator(replica);
    knownReplicas = new KnownReplicas(settings.seeds(), settings.mayCreate());
    manager =
        new VoterSetManager(
            replica, coordinator, VOTERS, TimeUnit.MILLISECONDS.toNanos(CATCH_UP_MS));
    peers = new ReplicaPeers(replica, knownReplicas, endpoint(address), settings.seeds());
    connections =
        new SimulatedConnections(
            address,
            network,
            () -> peers.hello(member(), leaving),
            knownReplicas::recordHello,
            this::receive);
    network.listen(address, connections);
  }

  static Endpoint endpoint(int address) {
    return new Endpoint(HOST, address);
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  private ReplicaMember member() {
    return ReplicaMember.newBuilder().setId(replica.id()).setHost(HOST).setPort(address).build();
  }

  private void receive(ReplicaMessage message) {
    replica.receive(nanos(), message);
  }

  /** Handles what has arrived and does what is due. */
  void step(long nowMs, SyncDelay syncDelay) {
    this.nowMs = nowMs;
    boolean received = connections.poll(nowMs);
    boolean ticks = nowMs >= nextTickMs;
    if (ticks) {
      nextTickMs = nowMs + TICK_MS;
      tick();
    }
    if (ticks || received) {
      flush(syncDelay);
    }
  }

  /** Returns for how long the disk has held up the process since the last call. */
  interface SyncDelay {
    long takeMs();
  }

  private void tick() {
    connections.connectTo(peers.otherAddresses(nanos(), endpoint(address)));
    if (peers.takeAnnouncement(nanos())) {
      connections.announce();
    }
    if (replica.isUninitialized()) {
      knownReplicas.initialVoters(member(), endpoint(address)).ifPresent(replica::createLog);
    }
    manager.tick(nanos(), knownReplicas.all(), connections::isLinked);
    replica.tick(nanos());
  }

  private void flush(SyncDelay syncDelay) {
    List<ReplicaMessage> messages = replica.flush(nanos());
    connections.setSendDelay(syncDelay.takeMs());
    messages.forEach(connections::send);
    connections.setSendDelay(0);
  }

  /** Says that the process is about to end. */
  void leave() {
    leaving = true;
    connections.announce();
    if (!mayDepart()) {
      replica.resign(nanos());
    }
  }

  boolean mayDepart() {
    return peers.mayDepart(connections::isLinked);
  }

  /** Closes the connections, as the end of the process does. */
  void close(long nowMs) {
    connections.closeAll(nowMs);
  }

  boolean isLeaving() {
    return leaving;
  }

  Replica replica() {
    return replica;
  }

  ReplicatedState state() {
    return state;
  }

  boolean leads(long nowMs) {
    return replica.role() == ReplicaRole.LEADER
        && replica.holdsLeaderLease(TimeUnit.MILLISECONDS.toNanos(nowMs));
  }
}
