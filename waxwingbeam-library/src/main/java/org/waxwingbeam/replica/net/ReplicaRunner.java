package org.waxwingbeam.replica.net;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.replica.CommandLog;
import org.waxwingbeam.replica.KnownReplicas;
import org.waxwingbeam.replica.LeaderAbsence;
import org.waxwingbeam.replica.MembershipCoordinator;
import org.waxwingbeam.replica.ProposalOutcome;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaPeers;
import org.waxwingbeam.replica.VoterSetManager;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/**
 * Runs a replica on one event loop: passes it messages and timer ticks, and flushes the changes of
 * many calls in one sync.
 *
 * @since 0.1.0
 */
public final class ReplicaRunner implements CommandLog, AutoCloseable {
  private static final long TICK_MS = 20;

  private final EventLoop loop;
  private final Replica replica;
  private final MembershipCoordinator membershipCoordinator;
  private final KnownReplicas knownReplicas;
  private final ReplicaPeers peers;
  private final VoterSetManager voterSetManager;
  private final Settings settings;
  private final Listener listener;
  private final ReplicaConnections connections;
  private boolean flushScheduled;
  private long notifiedTerm;
  private long notifiedIndex;
  private boolean leaving;
  private Optional<Runnable> departureListener = Optional.empty();

  /**
   * The addresses of a replica, its credential and its membership policy.
   *
   * @param replicaAddress the address at which it listens for other replicas
   * @param entryAddress the address at which it listens for entry instances
   * @param initialAddresses the addresses of the initial voters
   * @param token the credential of the system's own processes
   * @param linkTimings when a silent connection to another replica is replaced
   * @param membershipPolicy how the membership changes without an operator
   */
  public record Settings(
      Endpoint replicaAddress,
      Endpoint entryAddress,
      List<Endpoint> initialAddresses,
      String token,
      LinkLiveness.Timings linkTimings,
      MembershipPolicy membershipPolicy) {
    /** Creates settings for a replica whose membership only operators change. */
    public Settings(
        Endpoint replicaAddress,
        Endpoint entryAddress,
        List<Endpoint> initialAddresses,
        String token,
        LinkLiveness.Timings linkTimings) {
      this(
          replicaAddress,
          entryAddress,
          initialAddresses,
          token,
          linkTimings,
          MembershipPolicy.BY_OPERATORS);
    }

    @Override
    public String toString() {
      return "Settings[replicas=" + replicaAddress + "]";
    }
  }

  /**
   * Configures which membership changes are made without an operator.
   *
   * @param mayCreate whether this replica may create a log
   * @param wantedVoters the number of voters to reach; 0 leaves every change to operators
   * @param catchUpNanos time from the start of a replica within which it must have taken the place
   *     of a voter that is gone
   */
  public record MembershipPolicy(boolean mayCreate, int wantedVoters, long catchUpNanos) {
    /** Operators make every change. */
    public static final MembershipPolicy BY_OPERATORS = new MembershipPolicy(true, 0, 0);
  }

  /** Receives the replica's events, on its event loop. */
  public interface Listener {
    /** Called when this replica has begun to lead a term and holds the leader lease. */
    void onLeading(long nowNanos);

    /** Called after further commands were applied. */
    void onApplied();

    /** Called at the end of each tick. */
    void onTick(long nowNanos);

    /** Called once when the timer has stopped; the replica must not be used any more. */
    void onFailure(IOException reason);
  }

  /**
   * Creates a runner and starts listening for other replicas; {@link #start} starts the timer.
   *
   * @param group has a single event loop, which runs everything
   * @param replica the replica
   * @param settings its addresses, credential and membership policy
   * @param listener receives its events
   */
  public ReplicaRunner(
      EventLoopGroup group, Replica replica, Settings settings, Listener listener) {
    loop = group.next();
    this.replica = replica;
    this.settings = settings;
    this.listener = listener;
    membershipCoordinator = new MembershipCoordinator(replica);
    knownReplicas =
        new KnownReplicas(settings.initialAddresses(), settings.membershipPolicy().mayCreate());
    peers =
        new ReplicaPeers(
            replica, knownReplicas, settings.entryAddress(), settings.initialAddresses());
    voterSetManager =
        new VoterSetManager(
            replica,
            membershipCoordinator,
            settings.membershipPolicy().wantedVoters(),
            settings.membershipPolicy().catchUpNanos());
    connections =
        new ReplicaConnections(
            group,
            settings.replicaAddress(),
            settings.token(),
            settings.linkTimings(),
            this::hello,
            knownReplicas::recordHello,
            this::receive);
  }

  /** Adds addresses at which to look for other replicas; must be called on the event loop. */
  public void addAddresses(List<Endpoint> addresses) {
    peers.addAddresses(addresses);
  }

  /** Starts the timer that drives the replica. */
  public void start() {
    loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
        .addListener(
            ticks -> {
              if (!ticks.isCancelled() && ticks.cause() != null) {
                listener.onFailure(
                    new IOException(
                        "replica timer stopped after an unexpected exception", ticks.cause()));
              }
            });
  }

  private ReplicaMember member() {
    return ReplicaMember.newBuilder()
        .setId(replica.id())
        .setHost(settings.replicaAddress().host())
        .setPort(connections.port())
        .build();
  }

  private ReplicaHello hello() {
    return peers.hello(member(), leaving);
  }

  private void receive(ReplicaMessage message) {
    replica.receive(System.nanoTime(), message);
    scheduleFlush();
  }

  private void tick() {
    long now = System.nanoTime();
    connections.tick(now);
    connections.connectTo(peers.otherAddresses(now, KnownReplicas.address(member())));
    if (peers.takeAnnouncement(now)) {
      connections.announce();
    }
    if (replica.isUninitialized()) {
      knownReplicas
          .initialVoters(member(), settings.replicaAddress())
          .ifPresent(replica::createLog);
    }
    if (settings.membershipPolicy().wantedVoters() > 0) {
      voterSetManager.tick(now, knownReplicas.all(), connections::isLinked);
    } else {
      knownReplicas
          .all()
          .forEach(
              hello ->
                  membershipCoordinator.addLearnerOrUpdateAddress(
                      hello.getMember(), hello.getMayJoin()));
    }
    replica.tick(now);
    flush();
    notifyIfMayDepart();
    listener.onTick(now);
  }

  /**
   * Tells the other replicas that this one is about to end, so that a learner takes its place
   * before that; must be called on the event loop, once.
   *
   * @param mayEnd called once, when this replica does not vote any more, or no learner can replace
   *     it
   */
  public void leave(Runnable mayEnd) {
    leaving = true;
    departureListener = Optional.of(mayEnd);
    connections.announce();
    if (!mayDepart()) {
      replica.resign(System.nanoTime());
    }
    notifyIfMayDepart();
  }

  private void notifyIfMayDepart() {
    Optional<Runnable> notified = departureListener.filter(listener -> mayDepart());
    notified.ifPresent(
        listener -> {
          departureListener = Optional.empty();
          listener.run();
        });
  }

  private boolean mayDepart() {
    return peers.mayDepart(connections::isLinked);
  }

  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      loop.execute(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    replica.flush(System.nanoTime()).forEach(connections::send);
    notifyIfLeading(System.nanoTime());
    if (replica.appliedIndex() > notifiedIndex) {
      notifiedIndex = replica.appliedIndex();
      listener.onApplied();
    }
  }

  private void notifyIfLeading(long now) {
    if (notifiedTerm != replica.term() && replica.holdsLeaderLease(now)) {
      notifiedTerm = replica.term();
      listener.onLeading(now);
    }
  }

  @Override
  public void propose(Command command, Consumer<ProposalOutcome> receiver) {
    replica.propose(command, receiver);
    scheduleFlush();
  }

  /** See {@link Replica#confirmLeadership}; must be called on the event loop. */
  public void confirmLeadership(Consumer<Boolean> receiver) {
    replica.confirmLeadership(System.nanoTime(), receiver);
    scheduleFlush();
  }

  /** Replaces a voter by a learner; must be called on the event loop. */
  public void replace(String oldId, String newId, Consumer<ProposalOutcome> receiver) {
    membershipCoordinator.replace(System.nanoTime(), oldId, newId, receiver);
    scheduleFlush();
  }

  @Override
  public boolean holdsLeaderLease(long nowNanos) {
    return notifiedTerm == replica.term() && replica.holdsLeaderLease(nowNanos);
  }

  /** Returns the replica; it may be used on the event loop only. */
  public Replica replica() {
    return replica;
  }

  /** See {@link Replica#leaderAbsence}; must be called on the event loop. */
  public LeaderAbsence leaderAbsence(long nowNanos) {
    return replica.leaderAbsence(nowNanos, connections);
  }

  /** Returns the number of connections to other replicas that were lost since the start. */
  public long linksLost() {
    return connections.failures(System.nanoTime()).lost();
  }

  /** Returns the hellos of the other replicas. */
  public KnownReplicas knownReplicas() {
    return knownReplicas;
  }

  /**
   * Returns the address at which the leader listens for other replicas, if the leader is known and
   * is another replica.
   */
  public Optional<Endpoint> leaderAddress() {
    return replica
        .leaderId()
        .flatMap(knownReplicas::byId)
        .map(ReplicaHello::getMember)
        .map(KnownReplicas::address);
  }

  /**
   * Returns the address at which the leader listens for entry instances, if the leader is known and
   * is another replica.
   */
  public Optional<Endpoint> leaderEntryAddress() {
    return replica
        .leaderId()
        .flatMap(knownReplicas::byId)
        .map(hello -> new Endpoint(hello.getEntriesHost(), hello.getEntriesPort()));
  }

  /** Returns the port on which this replica listens for other replicas. */
  public int port() {
    return connections.port();
  }

  @Override
  public void close() {
    connections.close();
  }
}
