package org.waxwingbeam.daemon.control;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.concurrent.RepeatingTask;
import org.waxwingbeam.control.EntryRegistry;
import org.waxwingbeam.control.EntrySessions;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.control.net.EntryStreamServer;
import org.waxwingbeam.daemon.FailingDaemon;
import org.waxwingbeam.daemon.JournalOpener;
import org.waxwingbeam.daemon.TokenFile;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.metrics.ControlMetrics;
import org.waxwingbeam.metrics.net.MetricsServer;
import org.waxwingbeam.operator.OperatorService;
import org.waxwingbeam.operator.net.OperatorServer;
import org.waxwingbeam.replica.ClaimStateMachine;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.replica.net.ReplicaRunner;
import org.waxwingbeam.settings.ControlSettings;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.target.version.CanaryAnalysis;
import org.waxwingbeam.wire.control.NotLeader;

/**
 * Runs one control replica: serves other replicas, entry instances and operators on one event loop.
 *
 * <pre>{@code
 * try (ControlDaemon daemon = ControlDaemon.start(settings, claims)) {
 *   daemon.whenFailed(stopRequested::countDown);
 *   stopRequested.await();
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class ControlDaemon implements FailingDaemon {
  private static final EventLog LOG = new EventLog(ControlDaemon.class);
  private static final int ID_BYTES = 8;

  private final ControlSettings settings;
  private final EventLoopGroup group;
  private final Journal journal;
  private final ReplicatedState replicatedState;
  private final ReplicaRunner runner;
  private final EntryRegistry entryRegistry = new EntryRegistry();
  private final EntrySessions entrySessions;
  private final OperatorService operatorService;
  private final MoveLeader moveLeader;
  private final EntryStreamServer entryServer;
  private final OperatorServer operatorServer;
  private final ControlMetrics metrics;
  private final MetricsServer metricsServer;
  private volatile Runnable failureListener = () -> {};

  private ControlDaemon(
      ControlSettings settings, ClaimStateMachine claims, Journal journal, Tokens tokens)
      throws IOException {
    this.settings = settings;
    this.journal = journal;
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    replicatedState = new ReplicatedState(claims);
    Replica replica =
        new Replica(
            journal,
            replicatedState,
            new SecureRandom(),
            Replica.Options.DEFAULT,
            entry -> {},
            System.nanoTime());
    runner = new ReplicaRunner(group, replica, runnerSettings(tokens), new ReplicaListener());
    entrySessions =
        new EntrySessions(
            replicatedState,
            runner,
            entryRegistry,
            tokens.processes(),
            this::leaderRedirect,
            System::currentTimeMillis);
    PrometheusRegistry metricsRegistry = new PrometheusRegistry();
    metrics = new ControlMetrics(metricsRegistry);
    metricsServer = MetricsServer.start(settings.metrics(), metricsRegistry);
    operatorService =
        new OperatorService(replicatedState, runner, entryRegistry, System::currentTimeMillis);
    moveLeader = new MoveLeader(replicatedState, runner, operatorService);
    entrySessions.onSamples(moveLeader::addReport);
    entryServer = new EntryStreamServer(group, settings.entries(), linkTimings(), entrySessions);
    operatorServer =
        new OperatorServer(
            group,
            settings.operators(),
            tokens.operators(),
            new ReplicaOperations(
                settings.instance(),
                replicatedState,
                runner,
                entryRegistry,
                operatorService,
                metrics));
  }

  private record Tokens(String processes, String operators) {
    @Override
    public String toString() {
      return "Tokens[]";
    }
  }

  private ReplicaRunner.Settings runnerSettings(Tokens tokens) {
    return new ReplicaRunner.Settings(
        settings.replicas(),
        settings.entries(),
        settings.initialReplicas(),
        tokens.processes(),
        linkTimings());
  }

  private LinkLiveness.Timings linkTimings() {
    return LinkLiveness.Timings.ofContact(settings.contactMs());
  }

  private NotLeader leaderRedirect() {
    Optional<Endpoint> leader = runner.leaderEntryAddress();
    return leader
        .map(
            each ->
                NotLeader.newBuilder()
                    .setLeaderHost(each.host())
                    .setLeaderPort(each.port())
                    .build())
        .orElse(NotLeader.getDefaultInstance());
  }

  /**
   * Starts a control replica.
   *
   * @param settings the replica's settings
   * @param claims the claim table
   * @throws IOException if a credential cannot be read, or the data folder cannot be used or its
   *     journal is damaged
   */
  public static ControlDaemon start(ControlSettings settings, ClaimStateMachine claims)
      throws IOException {
    Tokens tokens =
        new Tokens(
            TokenFile.read(settings.tokenFile()), TokenFile.read(settings.operatorTokenFile()));
    Journal journal = JournalOpener.open(settings.dataFolder(), ControlDaemon::newId);
    ControlDaemon daemon = new ControlDaemon(settings, claims, journal, tokens);
    daemon.runner.start();
    daemon.scheduleMoveTicks();
    LOG.info(
        "control-started",
        "instance",
        settings.instance(),
        "replica",
        journal.replicaId(),
        "data",
        settings.dataFolder(),
        "replicas",
        daemon.replicasPort(),
        "entries",
        daemon.entriesPort(),
        "operators",
        daemon.operatorsPort());
    return daemon;
  }

  private void scheduleMoveTicks() {
    var unused =
        group
            .next()
            .scheduleAtFixedRate(
                new RepeatingTask("move-leader", moveLeader::tick),
                CanaryAnalysis.TICK_MS,
                CanaryAnalysis.TICK_MS,
                TimeUnit.MILLISECONDS);
  }

  private static String newId() {
    byte[] bytes = new byte[ID_BYTES];
    new SecureRandom().nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  /** Returns the port for other replicas. */
  public int replicasPort() {
    return runner.port();
  }

  /** Returns the port for entry instances. */
  public int entriesPort() {
    return entryServer.port();
  }

  /** Returns the port for operators. */
  public int operatorsPort() {
    return operatorServer.port();
  }

  @Override
  public void whenFailed(Runnable listener) {
    failureListener = listener;
  }

  @Override
  public void close() {
    operatorServer.close();
    entryServer.close();
    runner.close();
    metricsServer.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    try {
      journal.close();
    } catch (IOException exception) {
      LOG.warn("journal-close-failed", "reason", exception.getMessage());
    }
  }

  /** Forwards the replica's events to sessions, operators, metrics and the log. */
  private final class ReplicaListener implements ReplicaRunner.Listener {
    @Override
    public void onLeading(long nowNanos) {
      entryRegistry.startTerm(nowNanos, replicatedState.entryView());
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
      entrySessions.publish();
    }

    @Override
    public void onTick(long nowNanos) {
      entrySessions.tick(nowNanos);
      entryServer.tick(nowNanos);
      if (runner.holdsLeaderLease(nowNanos)) {
        operatorService.tick(nowNanos);
      }
      metrics.update(
          new ControlMetrics.ReplicaState(
              runner.replica().term(),
              runner.replica().appliedIndex(),
              runner.holdsLeaderLease(nowNanos),
              replicatedState.configuration().number(),
              entrySessions.sessionCount(),
              runner.replica().elections(),
              runner.linksLost()));
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
          reason.getMessage());
      failureListener.run();
    }
  }
}
