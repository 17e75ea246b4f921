package org.waxwingbeam.replica.net;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.waxwingbeam.replica.CommandLog;
import org.waxwingbeam.replica.KnownReplicas;
import org.waxwingbeam.replica.MembershipCoordinator;
import org.waxwingbeam.replica.ProposalOutcome;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaRole;
import org.waxwingbeam.replica.VoterSetManager;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/**
 * Runs a replica on one event loop: feeds it messages and time, and makes the work of many calls
 * durable in one sync.
 *
 * @since 0.1.0
 */
public final class ReplicaRunner implements CommandLog, AutoCloseable {
  private static final long TICK_MS = 20;
  private static final long ANNOUNCE_INTERVAL_MS = 500;

  private final EventLoop loop;
  private final Replica replica;
  private final MembershipCoordinator replacement;
  private final KnownReplicas knownReplicas;
  private final VoterSetManager keeper;
  private final Settings settings;
  private final Listener listener;
  private final ReplicaConnections links;
  private final Set<Endpoint> added = new HashSet<>();
  private boolean flushScheduled;
  private boolean wasFresh = true;
  private long leasedTerm;
  private long publishedIndex;
  private long nextAnnounceNanos;

  /**
   * Says where a replica runs.
   *
   * @param replicaAddress where it takes other replicas
   * @param entryAddress where it takes entry instances
   * @param initialAddresses the addresses of the first voters
   * @param token the credential of the system's own processes
   * @param membershipPolicy how the membership changes without an operator
   */
  public record Settings(
      Endpoint replicaAddress,
      Endpoint entryAddress,
      List<Endpoint> initialAddresses,
      String token,
      MembershipPolicy membershipPolicy) {
    /** States where a replica runs whose membership only operators change. */
    public Settings(Endpoint replicas, Endpoint entries, List<Endpoint> initial, String token) {
      this(replicas, entries, initial, token, MembershipPolicy.BY_OPERATORS);
    }

    @Override
    public String toString() {
      return "Settings[replicas=" + replicaAddress + "]";
    }
  }

  /**
   * Says how the membership changes without an operator.
   *
   * @param mayCreate whether this replica may create a log
   * @param wantedVoters the number of voters to reach; 0 leaves every change to operators
   */
  public record MembershipPolicy(boolean mayCreate, int wantedVoters) {
    /** Operators make every change. */
    public static final MembershipPolicy BY_OPERATORS = new MembershipPolicy(true, 0);
  }

  /** Takes what the replica does, on its event loop. */
  public interface Listener {
    /** Called when this replica has begun to lead and may answer. */
    void onLeading(long nowNanos);

    /** Called after commands were applied. */
    void onApplied();

    /** Called at each tick, after everything else. */
    void onTick(long nowNanos);

    /** Called once when the disk has failed; the replica takes no part any more. */
    void onFailure(IOException reason);
  }

  /**
   * Creates a host and starts to listen; {@link #start} begins the work.
   *
   * @param group its one event loop runs everything
   * @param replica the replica
   * @param settings where it runs
   * @param listener takes what the replica does
   */
  public ReplicaRunner(
      EventLoopGroup group, Replica replica, Settings settings, Listener listener) {
    loop = group.next();
    this.replica = replica;
    this.settings = settings;
    this.listener = listener;
    replacement = new MembershipCoordinator(replica);
    knownReplicas =
        new KnownReplicas(settings.initialAddresses(), settings.membershipPolicy().mayCreate());
    keeper = new VoterSetManager(replica, replacement, settings.membershipPolicy().wantedVoters());
    links =
        new ReplicaConnections(
            group,
            settings.replicaAddress(),
            settings.token(),
            this::hello,
            knownReplicas::recordHello,
            this::receive);
  }

  /** Adds addresses at which other replicas may be; must be called on the event loop. */
  public void addAddresses(List<Endpoint> addresses) {
    added.addAll(addresses);
  }

  /** Begins to work. */
  public void start() {
    loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
        .addListener(
            ticks -> {
              if (!ticks.isCancelled() && ticks.cause() != null) {
                listener.onFailure(new IOException("replica stopped", ticks.cause()));
              }
            });
  }

  private ReplicaMember member() {
    return ReplicaMember.newBuilder()
        .setId(replica.id())
        .setHost(settings.replicaAddress().host())
        .setPort(links.port())
        .build();
  }

  private ReplicaHello hello() {
    return ReplicaHello.newBuilder()
        .setMember(member())
        .setFresh(replica.isUninitialized())
        .setEntriesHost(settings.entryAddress().host())
        .setEntriesPort(settings.entryAddress().port())
        .build();
  }

  private void receive(ReplicaMessage message) {
    replica.receive(System.nanoTime(), message);
    scheduleFlush();
  }

  private void tick() {
    long now = System.nanoTime();
    links.connectTo(otherAddresses());
    announceIfDue(now);
    if (replica.isUninitialized()) {
      knownReplicas
          .initialVoters(member(), settings.replicaAddress())
          .ifPresent(replica::createLog);
    }
    if (settings.membershipPolicy().wantedVoters() > 0) {
      keeper.tick(now, knownReplicas.all());
    } else {
      knownReplicas
          .all()
          .forEach(
              hello -> replacement.addLearnerOrUpdateAddress(hello.getMember(), hello.getFresh()));
    }
    replica.tick(now);
    flush();
    listener.onTick(now);
  }

  private void announceIfDue(long now) {
    boolean changed = wasFresh && !replica.isUninitialized();
    if (changed || (replica.isUninitialized() && now - nextAnnounceNanos >= 0)) {
      wasFresh = replica.isUninitialized();
      nextAnnounceNanos = now + TimeUnit.MILLISECONDS.toNanos(ANNOUNCE_INTERVAL_MS);
      links.announce();
    }
  }

  private Set<Endpoint> otherAddresses() {
    Stream<Endpoint> members =
        Stream.concat(
                replica.membership().getVotersList().stream(),
                replica.membership().getLearnersList().stream())
            .map(KnownReplicas::address);
    Endpoint own = KnownReplicas.address(member());
    return Stream.of(settings.initialAddresses().stream(), added.stream(), members)
        .flatMap(each -> each)
        .filter(each -> !each.equals(own) && each.port() > 0)
        .collect(Collectors.toSet());
  }

  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      loop.execute(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    if (replica.role() == ReplicaRole.FAILED) {
      return;
    }
    long now = System.nanoTime();
    try {
      replica.flush(now).forEach(links::send);
    } catch (IOException failed) {
      listener.onFailure(failed);
      return;
    }
    noteLeadership(System.nanoTime());
    if (replica.appliedIndex() > publishedIndex) {
      publishedIndex = replica.appliedIndex();
      listener.onApplied();
    }
  }

  private void noteLeadership(long now) {
    if (leasedTerm != replica.term() && replica.holdsLeaderLease(now)) {
      leasedTerm = replica.term();
      listener.onLeading(now);
    }
  }

  @Override
  public void propose(Command command, Consumer<ProposalOutcome> receiver) {
    replica.propose(command, receiver);
    scheduleFlush();
  }

  /** Lets a learner take a voter's place; must be called on the event loop. */
  public void replace(String oldId, String newId, Consumer<ProposalOutcome> receiver) {
    replacement.replace(System.nanoTime(), oldId, newId, receiver);
    scheduleFlush();
  }

  @Override
  public boolean holdsLeaderLease(long nowNanos) {
    return leasedTerm == replica.term() && replica.holdsLeaderLease(nowNanos);
  }

  /** Returns the replica; it may be used on the event loop only. */
  public Replica replica() {
    return replica;
  }

  /** Returns what other replicas have said of themselves. */
  public KnownReplicas knownReplicas() {
    return knownReplicas;
  }

  /** Returns where the leader takes other replicas, if it is known and is another replica. */
  public Optional<Endpoint> leaderAddress() {
    return replica
        .leaderId()
        .flatMap(knownReplicas::byId)
        .map(ReplicaHello::getMember)
        .map(KnownReplicas::address);
  }

  /** Returns where the leader takes entry instances, if it is known and is another replica. */
  public Optional<Endpoint> leaderEntryAddress() {
    return replica
        .leaderId()
        .flatMap(knownReplicas::byId)
        .map(hello -> new Endpoint(hello.getEntriesHost(), hello.getEntriesPort()));
  }

  /** Returns the port for other replicas. */
  public int port() {
    return links.port();
  }

  @Override
  public void close() {
    links.close();
  }
}
