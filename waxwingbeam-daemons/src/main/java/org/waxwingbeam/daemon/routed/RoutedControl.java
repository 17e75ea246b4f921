package org.waxwingbeam.daemon.routed;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.waxwingbeam.control.ClaimTable;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.control.net.FeedServer;
import org.waxwingbeam.daemon.JournalOpener;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.replica.CommandResult;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.LeaderAbsence;
import org.waxwingbeam.replica.LeaderAbsenceText;
import org.waxwingbeam.replica.ProposalOutcome;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.replica.net.ReplicaRunner;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.target.TargetDirectory;
import org.waxwingbeam.wire.feed.ControlFrame;
import org.waxwingbeam.wire.feed.EntryFrame;
import org.waxwingbeam.wire.feed.TargetRecord;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.routing.RoutingChange;
import org.waxwingbeam.wire.routing.RoutingState;

/**
 * Runs a control replica for routed services: stores operators' routing changes in the replicated
 * log, receives targets' reports, and streams both to the entry instances.
 *
 * <p>All methods but {@link #start} and {@link #close} must be called on the event loop of the
 * group.
 *
 * <pre>{@code
 * try (RoutedControl control = RoutedControl.start(group, settings, onFailure)) {
 *   control.submitChange(change, outcome -> respond(outcome));
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class RoutedControl implements AutoCloseable {
  private static final EventLog LOG = new EventLog(RoutedControl.class);
  private static final int ID_BYTES = 8;

  /** The system's own processes share a private network and use no credential. */
  private static final String NO_CREDENTIAL = "";

  private static final long NANOS_PER_MS = 1_000_000;

  /** Report intervals for which a target is presumed ready: single reports may be lost or late. */
  private static final long READY_REPORTS = 6;

  /** The same time at least: a report may arrive seconds late, however short the interval. */
  private static final long MIN_READY_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Maximum time to wait until all entry instances have applied a target's leave report. */
  private static final long APPLY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /**
   * Maximum time to wait until all entry instances have applied an operator's order. It is short
   * enough that an operator who gives up after a second still gets the response.
   */
  private static final long ORDER_APPLY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final Settings settings;
  private final Journal journal;
  private final ReplicatedState replicatedState;
  private final ReplicaRunner runner;
  private final FeedServer feed;
  private final MoveRunner moveRunner;
  private final TargetDirectory targetDirectory = new TargetDirectory();
  private final Runnable onFailure;
  private final AbsenceLogLimit absenceLogLimit = new AbsenceLogLimit();
  private long readRefusalsLeftOut;
  private long publishedRevision;
  private Membership loggedMembership = Membership.getDefaultInstance();

  /**
   * Settings of a control replica.
   *
   * @param instance the instance's name, for logs
   * @param replicaAddress where other replicas connect
   * @param entryAddress where entry instances connect; the port is the same on all instances
   * @param seeds the replica addresses of the first replicas
   * @param dataFolder the folder of the replicated log
   * @param mayCreate whether the replica may create the log: on the first start of the system only
   * @param wantedVoters the number of voters to reach
   * @param reportIntervalMs time between two reports of a target
   * @param catchUpMs time from the start of a replica within which it must have taken the place of
   *     a voter that is gone
   * @param contactMs time within which processes that can reach each other must be in contact
   */
  public record Settings(
      InstanceName instance,
      Endpoint replicaAddress,
      Endpoint entryAddress,
      List<Endpoint> seeds,
      Path dataFolder,
      boolean mayCreate,
      int wantedVoters,
      long reportIntervalMs,
      long catchUpMs,
      long contactMs) {
    /** Copies the list of seeds. */
    public Settings {
      seeds = List.copyOf(seeds);
    }

    /** Age of its latest report at which a new entry instance is not told of a target. */
    long readyLifetimeNanos() {
      return Math.max(MIN_READY_LIFETIME_NANOS, READY_REPORTS * reportIntervalMs * NANOS_PER_MS);
    }
  }

  private RoutedControl(
      EventLoopGroup group, Settings settings, Journal journal, Runnable onFailure)
      throws IOException {
    this.settings = settings;
    this.journal = journal;
    this.onFailure = onFailure;
    replicatedState = new ReplicatedState(new ClaimTable());
    Replica replica =
        new Replica(
            journal,
            replicatedState,
            new SecureRandom(),
            Replica.Options.DEFAULT,
            entry -> {},
            System.nanoTime());
    LinkLiveness.Timings linkTimings = LinkLiveness.Timings.ofContact(settings.contactMs());
    ReplicaRunner.Settings runnerSettings =
        new ReplicaRunner.Settings(
            settings.replicaAddress(),
            settings.entryAddress(),
            settings.seeds(),
            NO_CREDENTIAL,
            linkTimings,
            new ReplicaRunner.MembershipPolicy(
                settings.mayCreate(),
                settings.wantedVoters(),
                settings.catchUpMs() * NANOS_PER_MS));
    runner = new ReplicaRunner(group, replica, runnerSettings, new ReplicaListener());
    moveRunner = new MoveRunner(replicatedState.routing(), this::propose);
    feed =
        new FeedServer(
            group, settings.entryAddress(), linkTimings, new FeedSource(), this::receiveFrame);
  }

  /**
   * Starts a replica.
   *
   * @param group one event loop, which runs the whole replica
   * @param settings the replica's settings
   * @param onFailure called once if the replica's timer stops after an unexpected exception
   * @throws IOException if the data folder cannot be used or its journal is damaged
   */
  public static RoutedControl start(EventLoopGroup group, Settings settings, Runnable onFailure)
      throws IOException {
    Journal journal = JournalOpener.open(settings.dataFolder(), RoutedControl::newId);
    RoutedControl control = new RoutedControl(group, settings, journal, onFailure);
    control.runner.start();
    LOG.info(
        "control-started",
        "instance",
        settings.instance(),
        "replica",
        journal.replicaId(),
        "data",
        settings.dataFolder(),
        "may_create",
        settings.mayCreate(),
        "seeds",
        settings.seeds());
    return control;
  }

  private static String newId() {
    byte[] bytes = new byte[ID_BYTES];
    new SecureRandom().nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  /**
   * Applies a target's report and streams it to the entry instances. A report that the target
   * leaves is acknowledged only after every connected entry instance has applied it, and refused
   * without contact to a majority of the replicas.
   *
   * @param record the report
   * @param receiver called once with whether the report may be acknowledged
   */
  public void applyReport(TargetRecord record, Consumer<Boolean> receiver) {
    long now = System.nanoTime();
    boolean leaving = record.getState() != TargetRecord.State.READY;
    if (leaving && !runner.replica().hasQuorumContact(now)) {
      logLeaveRefusal(now, record.getId());
      receiver.accept(false);
      return;
    }
    TargetDirectory.MergeResult merged = targetDirectory.merge(now, record);
    if (merged == TargetDirectory.MergeResult.CHANGED) {
      TargetLog.logChange(record);
      targetDirectory.find(now, record.getId()).ifPresent(feed::publish);
    }
    if (leaving) {
      feed.whenApplied(APPLY_TIMEOUT_NANOS, receiver);
    } else {
      receiver.accept(true);
    }
  }

  private void logLeaveRefusal(long nowNanos, String target) {
    LeaderAbsence absence = runner.leaderAbsence(nowNanos);
    List<Object> pairs = List.of("target", target, "reason", "no-majority");
    LOG.warn("target-leave-refused", withAbsence(nowNanos, absence, pairs));
  }

  /** Returns pairs with why there is no leader, in full if that is due. */
  private Object[] withAbsence(long nowNanos, LeaderAbsence absence, List<Object> pairs) {
    List<Object> details =
        absenceLogLimit.tryAcquire(nowNanos, absence.cause())
            ? LeaderAbsenceText.details(absence)
            : List.of();
    return Stream.of(pairs, LeaderAbsenceText.summary(absence), details)
        .flatMap(List::stream)
        .toArray();
  }

  /** Returns what is known of why no leader is known. */
  public LeaderAbsence leaderAbsence() {
    return runner.leaderAbsence(System.nanoTime());
  }

  /**
   * Proposes an operator's routing change for the replicated log. An accepted change is reported
   * once every connected entry instance has applied it, or after {@link
   * #ORDER_APPLY_TIMEOUT_NANOS}.
   *
   * @param change the change
   * @param receiver called once with the outcome
   */
  public void submitChange(RoutingChange change, Consumer<OrderOutcome> receiver) {
    runner.propose(
        Command.newBuilder().setRouting(change).build(),
        outcome -> {
          OrderOutcome result = toOrderOutcome(outcome);
          long revision = replicatedState.routing().state().getRevision();
          logOrder(change, result, outcome, revision);
          if (result instanceof OrderOutcome.Accepted) {
            whenInForce(revision, () -> receiver.accept(result));
          } else {
            receiver.accept(result);
          }
        });
  }

  private void logOrder(
      RoutingChange change, OrderOutcome result, ProposalOutcome outcome, long revision) {
    boolean leaderless = result.equals(new OrderOutcome.Elsewhere(Optional.empty()));
    Object[] pairs = {
      "kind",
      change.getKindCase(),
      "version",
      change.getPutDocument().getDocument().getVersion(),
      "outcome",
      result,
      "detail",
      leaderless ? "no-leader" : outcome,
      "revision",
      revision
    };
    if (leaderless) {
      long now = System.nanoTime();
      LOG.info("order", withAbsence(now, runner.leaderAbsence(now), Arrays.asList(pairs)));
    } else {
      LOG.info("order", pairs);
    }
  }

  private void whenInForce(long revision, Runnable task) {
    feed.whenRoutingApplied(
        revision,
        ORDER_APPLY_TIMEOUT_NANOS,
        confirmed -> {
          if (!confirmed) {
            LOG.warn("order-unconfirmed", "revision", revision, "by", feed.entriesBehind(revision));
          }
          task.run();
        });
  }

  private OrderOutcome toOrderOutcome(ProposalOutcome outcome) {
    return switch (outcome) {
      case ProposalOutcome.Applied applied -> new OrderOutcome.Accepted();
      case ProposalOutcome.NotLeader follower -> new OrderOutcome.Elsewhere(leaderHost());
      case ProposalOutcome.Refused refused -> new OrderOutcome.Unknown();
      case ProposalOutcome.Unknown unknown -> new OrderOutcome.Unknown();
    };
  }

  private void propose(RoutingChange change) {
    runner.propose(
        Command.newBuilder().setRouting(change).build(),
        outcome -> {
          if (!(outcome instanceof ProposalOutcome.Applied applied
              && applied.result() instanceof CommandResult.Routing)) {
            LOG.warn("move-change-lost", "move", change.getAdvanceMove(), "outcome", outcome);
          }
        });
  }

  private Optional<String> leaderHost() {
    return runner.leaderAddress().map(Endpoint::host);
  }

  /**
   * Reads the routing state, which is that of the leader. A majority of the replicas confirms that
   * this one still leads, so that no older state is returned.
   *
   * @param receiver called once with the outcome
   */
  public void readState(Consumer<ReadOutcome> receiver) {
    runner.confirmLeadership(
        leads ->
            receiver.accept(
                leads
                    ? new ReadOutcome.Current(
                        replicatedState.routing().state(),
                        replicatedState.routing().documentSource())
                    : refusedRead()));
  }

  private ReadOutcome refusedRead() {
    Optional<String> leaderHost = leaderHost();
    if (leaderHost.isEmpty()) {
      logReadRefusal(System.nanoTime());
    }
    return new ReadOutcome.NotLeader(leaderHost);
  }

  private void logReadRefusal(long nowNanos) {
    LeaderAbsence absence = runner.leaderAbsence(nowNanos);
    if (!absenceLogLimit.tryAcquire(nowNanos, absence.cause())) {
      readRefusalsLeftOut++;
      return;
    }
    LOG.info(
        "read-refused",
        Stream.of(
                LeaderAbsenceText.summary(absence),
                LeaderAbsenceText.details(absence),
                List.of("left_out", readRefusalsLeftOut))
            .flatMap(List::stream)
            .toArray());
    readRefusalsLeftOut = 0;
  }

  private void receiveFrame(String entry, EntryFrame frame) {
    switch (frame.getKindCase()) {
      case CRASH -> feed.relay(entry, ControlFrame.newBuilder().setCrash(frame.getCrash()).build());
      case EVIDENCE -> moveRunner.applySamples(entry, frame.getEvidence());
      default -> {}
    }
  }

  private void logMembership() {
    Membership current = runner.replica().membership();
    if (!current.equals(loggedMembership)) {
      loggedMembership = current;
      LOG.info(
          "membership-changed",
          "instance",
          settings.instance(),
          "replica",
          journal.replicaId(),
          "voters",
          current.getVotersList().stream().map(RoutedControl::idAndHost).toList(),
          "learners",
          current.getLearnersList().stream().map(RoutedControl::idAndHost).toList());
    }
  }

  private static String idAndHost(ReplicaMember member) {
    return "%s@%s".formatted(member.getId(), member.getHost());
  }

  private void publishRouting() {
    RoutingState current = replicatedState.routing().state();
    if (current.getRevision() > publishedRevision) {
      publishedRevision = current.getRevision();
      LOG.info(
          "routing-applied",
          "revision",
          current.getRevision(),
          "document",
          current.getDocument().getVersion(),
          "data_centres_out",
          current.getDataCentresOutList(),
          "moves",
          current.getMovesCount());
      feed.publish(current);
    }
  }

  /** Returns the number of voters, or 0 if this replica is not a voter. */
  public int voterCount() {
    List<ReplicaMember> voters = runner.replica().membership().getVotersList();
    boolean isVoter = voters.stream().anyMatch(each -> each.getId().equals(journal.replicaId()));
    return isVoter ? voters.size() : 0;
  }

  /** Adds replica addresses to connect to, such as after the settings have changed. */
  public void addSeeds(List<Endpoint> seeds) {
    runner.addAddresses(seeds);
  }

  /**
   * Lets a learner take this replica's place as a voter, if there is one.
   *
   * @param mayEnd called once, when this replica may end
   */
  public void leave(Runnable mayEnd) {
    runner.leave(mayEnd);
  }

  @Override
  public void close() {
    feed.close();
    runner.close();
    try {
      journal.close();
    } catch (IOException exception) {
      LOG.warn("journal-close-failed", "reason", exception.getMessage());
    }
  }

  /** Supplies the feed with this replica's state. */
  private final class FeedSource implements FeedServer.Source {
    @Override
    public RoutingState routing() {
      return replicatedState.routing().state();
    }

    @Override
    public List<TargetRecord> targets() {
      return targetDirectory.currentRecords(System.nanoTime(), settings.readyLifetimeNanos());
    }

    @Override
    public List<String> replicas() {
      return Stream.concat(
              runner.replica().membership().getVotersList().stream(),
              runner.replica().membership().getLearnersList().stream())
          .map(ReplicaMember::getHost)
          .map(each -> new Endpoint(each, settings.entryAddress().port()).toString())
          .distinct()
          .toList();
    }
  }

  /** Logs and publishes the state changes of the replica. */
  private final class ReplicaListener implements ReplicaRunner.Listener {
    @Override
    public void onLeading(long nowNanos) {
      LOG.info(
          "replica-leads",
          "instance",
          settings.instance(),
          "replica",
          journal.replicaId(),
          "term",
          runner.replica().term());
    }

    @Override
    public void onApplied() {
      publishRouting();
    }

    @Override
    public void onTick(long nowNanos) {
      logMembership();
      feed.tick(nowNanos);
      if (runner.holdsLeaderLease(nowNanos)) {
        runner.replica().leaderTerm().ifPresent(term -> moveRunner.tick(nowNanos, term));
      }
    }

    @Override
    public void onFailure(IOException reason) {
      LOG.error(
          "replica-failed",
          "instance",
          settings.instance(),
          "replica",
          journal.replicaId(),
          "reason",
          reason.getMessage(),
          "cause",
          reason.getCause());
      onFailure.run();
    }
  }
}
