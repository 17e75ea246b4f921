package org.waxwingbeam.daemon.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.waxwingbeam.caller.PoisonRequestDetector;
import org.waxwingbeam.caller.net.CallerServer;
import org.waxwingbeam.caller.net.ClassifierCache;
import org.waxwingbeam.caller.net.ExchangeContext;
import org.waxwingbeam.caller.net.RequestIds;
import org.waxwingbeam.caller.net.RequestLog;
import org.waxwingbeam.caller.net.RetryBudgets;
import org.waxwingbeam.caller.net.SharedDispatcher;
import org.waxwingbeam.concurrent.RepeatingTask;
import org.waxwingbeam.control.AppliedConfiguration;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.control.net.ControlClaimClient;
import org.waxwingbeam.control.net.ControlClient;
import org.waxwingbeam.daemon.StoppableNow;
import org.waxwingbeam.daemon.TokenFile;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.metrics.EntryMetrics;
import org.waxwingbeam.metrics.net.MetricsServer;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.peer.AnnouncementReplicator;
import org.waxwingbeam.peer.PeerPresence;
import org.waxwingbeam.peer.PoisonRecordCodec;
import org.waxwingbeam.peer.SoftRecord;
import org.waxwingbeam.peer.WarmupStateCodec;
import org.waxwingbeam.peer.net.PeerNetwork;
import org.waxwingbeam.readiness.EntryReadiness;
import org.waxwingbeam.readiness.net.ReadinessServer;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.settings.EntrySettings;
import org.waxwingbeam.target.ChoicePolicy;
import org.waxwingbeam.target.DispatchSettings;
import org.waxwingbeam.target.EntryDispatcher;
import org.waxwingbeam.target.TargetRegistry;
import org.waxwingbeam.target.WarmupState;
import org.waxwingbeam.target.WarmupTable;
import org.waxwingbeam.target.net.AnnouncementServer;
import org.waxwingbeam.target.net.TargetConnections;
import org.waxwingbeam.wire.control.EntryMember;

/**
 * Runs an entry instance: serves callers, receives targets' announcements and responds to the
 * platform's readiness checks.
 *
 * <pre>{@code
 * try (EntryDaemon daemon = EntryDaemon.start(settings)) {
 *   stopSignal.await();
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class EntryDaemon implements AutoCloseable, StoppableNow {
  private static final EventLog LOG = new EventLog(EntryDaemon.class);
  private static final long DISPATCH_TICK_MS = 5;
  private static final long CRASH_RECORD_TICK_MS = 10;
  private static final long EXPIRY_TICK_MS = 100;
  private static final long DRAIN_POLL_MS = 20;
  private static final long MIN_DRAIN_MS = 500;
  private static final long HANDOVER_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final EntrySettings settings;
  private final EventLoopGroup group;
  private final AppliedConfiguration appliedConfiguration = new AppliedConfiguration();
  private final TargetRegistry targetRegistry = new TargetRegistry();
  private final List<Future<?>> timers = new ArrayList<>();
  private final PoisonRequestDetector poisonDetector = new PoisonRequestDetector();
  private final AtomicLong crashRecordGeneration = new AtomicLong();
  private final long bootId = System.currentTimeMillis();
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final AtomicBoolean stopNowRequested = new AtomicBoolean();
  private final ControlClient controlClient;
  private final PeerPresence peerPresence;
  private final VersionMoveClient moveClient;
  private final WarmupTable warmupTable;
  private final AnnouncementReplicator announcementReplicator;
  private final PeerNetwork peerNetwork;
  private final AnnouncementServer announcementServer;
  private final ReadinessServer readinessServer;
  private final PrometheusRegistry metrics = new PrometheusRegistry();
  private final MetricsServer metricsServer;
  private final CallerServer callerServer;

  private EntryDaemon(EntrySettings settings, String token)
      throws IOException, InterruptedException {
    this.settings = settings;
    this.group = new MultiThreadIoEventLoopGroup(settings.workers(), NioIoHandler.newFactory());
    controlClient =
        new ControlClient(
            group.next(),
            new ControlClient.Identity(member(), token),
            settings.controlEndpoints(),
            LinkLiveness.Timings.ofContact(settings.contactMs()),
            appliedConfiguration,
            this::onConfiguration);
    peerPresence = new PeerPresence(settings.instance(), bootId);
    warmupTable = new WarmupTable(found -> publishWarmupState(found));
    announcementReplicator =
        new AnnouncementReplicator(
            settings.instance(), targetRegistry, record -> publishRecord(record));
    peerNetwork =
        new PeerNetwork(
            group,
            new PeerNetwork.Identity(settings.instance(), token),
            settings.peers(),
            LinkLiveness.Timings.ofContact(settings.contactMs()),
            () -> controlClient.leasedView().view(),
            this::receiveRecord);
    announcementServer =
        AnnouncementServer.start(
            group,
            settings.targets(),
            announcement -> announcementReplicator.announce(System.nanoTime(), announcement));
    metricsServer = MetricsServer.start(settings.metrics(), metrics);
    readinessServer = new ReadinessServer(group, settings.platform(), this::refusal);
    moveClient = new VersionMoveClient(settings.instance(), appliedConfiguration, controlClient);
    SharedDispatcher dispatcher =
        new SharedDispatcher(
            moveClient.recordingDispatcher(createDispatcher(), targetRegistry), System::nanoTime);
    callerServer =
        new CallerServer(
            group, settings.callers(), settings::callerLimits, exchangeContext(dispatcher));
    controlClient.start();
    scheduleEvery("dispatcher", dispatcher::tick, DISPATCH_TICK_MS);
    scheduleEvery("version-moves", moveClient::tick, VersionMoveClient.TICK_MS);
    scheduleEvery("announcements", this::expireAnnouncements, EXPIRY_TICK_MS);
    scheduleEvery("crash-records", this::publishCrashRecords, CRASH_RECORD_TICK_MS);
    scheduleEvery(
        "presence",
        () -> peerNetwork.publish(peerPresence.nextPresenceRecord()),
        PeerPresence.PRESENCE_PERIOD_MS);
  }

  /**
   * Starts an entry instance.
   *
   * @throws IOException if the credential cannot be read
   */
  public static EntryDaemon start(EntrySettings settings) throws IOException, InterruptedException {
    return new EntryDaemon(settings, TokenFile.read(settings.tokenFile()));
  }

  private void publishRecord(SoftRecord record) {
    peerNetwork.publish(record);
  }

  private void publishWarmupState(WarmupState state) {
    LOG.info("target-warmth", "target", state.target(), "warm", state.warm());
    peerNetwork.publish(WarmupStateCodec.toRecord(state));
  }

  private void receiveRecord(SoftRecord received) {
    WarmupStateCodec.fromRecord(received).ifPresent(warmupTable::merge);
    peerPresence.receive(System.nanoTime(), received);
    PoisonRecordCodec.fromRecord(received)
        .ifPresent(record -> poisonDetector.merge(System.nanoTime(), record));
    announcementReplicator.receive(System.nanoTime(), received);
  }

  private void publishCrashRecords() {
    poisonDetector
        .drainChanges(System.nanoTime())
        .forEach(
            found ->
                peerNetwork.publish(
                    PoisonRecordCodec.toRecord(
                        found,
                        settings.instance(),
                        bootId,
                        crashRecordGeneration.incrementAndGet())));
  }

  private void expireAnnouncements() {
    Set<InstanceName> liveEntries =
        controlClient.leasedView().view().members().stream()
            .map(EntryView.Member::name)
            .collect(Collectors.toSet());
    announcementReplicator.expire(System.nanoTime(), liveEntries);
  }

  private EntryMember member() {
    return EntryMember.newBuilder()
        .setName(settings.instance().value())
        .setDataCentre(settings.dataCentre().value())
        .setPeersHost(settings.peers().host())
        .setPeersPort(settings.peers().port())
        .setBootId(bootId)
        .build();
  }

  private void onConfiguration(Configuration configuration) {
    LOG.info("configuration-applied", "number", configuration.number());
  }

  /** Returns this entry instance's share of a fleet-wide limit, at least 1. */
  private int connectionShare(int limit) {
    int members = Math.max(1, controlClient.leasedView().view().members().size());
    return Math.max(1, limit / members);
  }

  private EntryDispatcher createDispatcher() {
    ChoicePolicy policy =
        ChoicePolicy.named(settings.choice().policy())
            .orElseThrow(
                () ->
                    new IllegalArgumentException(
                        "policy '%s': expected the name of a target selection policy"
                            .formatted(settings.choice().policy())));
    return new EntryDispatcher(
        new DispatchSettings(
            settings.instance(), settings.dataCentre(), policy, HANDOVER_NANOS, System.nanoTime()),
        targetRegistry,
        appliedConfiguration::current,
        controlClient::leasedView,
        moveClient.selector(),
        warmupTable);
  }

  private ExchangeContext exchangeContext(SharedDispatcher dispatcher) {
    return new ExchangeContext(
        dispatcher,
        new TargetConnections(),
        new ClassifierCache(appliedConfiguration),
        ExchangeContext.Protocols.NATIVE,
        (maxDurationNanos, idempotent) -> refusal(),
        this::connectionShare,
        new RetryBudgets(),
        new RequestIds(requestIdPrefix(), bootId),
        settings.instance(),
        new ControlClaimClient(controlClient, group.next()),
        poisonDetector,
        new RequestLog(),
        new EntryMetrics(metrics),
        new Random(),
        System::nanoTime);
  }

  private String requestIdPrefix() {
    return "%s-%x-".formatted(settings.instance().value(), bootId);
  }

  private void scheduleEvery(String name, Runnable task, long periodMs) {
    timers.add(
        group
            .next()
            .scheduleAtFixedRate(
                new RepeatingTask(name, task), periodMs, periodMs, TimeUnit.MILLISECONDS));
  }

  private Optional<ErrorKind> refusal() {
    Configuration configuration = appliedConfiguration.current();
    EntryReadiness readiness =
        new EntryReadiness(
            stopping.get(),
            configuration.number() > 0,
            configuration.dataCentresOut().contains(settings.dataCentre()),
            isIsolated());
    return readiness.refusal();
  }

  private boolean isIsolated() {
    return !controlClient.hasValidLease()
        && peerPresence.isInMinority(System.nanoTime(), controlClient.leasedView().view());
  }

  /** Returns the address to which targets post their announcements. */
  public Endpoint announcementAddress() {
    InetSocketAddress address = announcementServer.address();
    return new Endpoint(address.getAddress().getHostAddress(), address.getPort());
  }

  /** Returns the port for the platform's readiness and liveness checks. */
  public int readinessPort() {
    return readinessServer.port();
  }

  /** Returns the address on which callers connect. */
  public Endpoint callerAddress() {
    return callerServer.endpoint();
  }

  /**
   * Refuses new requests as not run, waits until the outstanding ones have ended, and stops. While
   * it waits, it reports itself unready.
   */
  @Override
  public void close() throws InterruptedException {
    if (stopping.getAndSet(true)) {
      return;
    }
    callerServer.drain();
    long minDrainEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MIN_DRAIN_MS);
    while (!stopNowRequested.get()
        && (callerServer.activeExchanges() > 0 || System.nanoTime() - minDrainEndNanos < 0)) {
      Thread.sleep(DRAIN_POLL_MS);
    }
    timers.forEach(timer -> timer.cancel(false));
    callerServer.close();
    controlClient.close();
    peerNetwork.close();
    announcementServer.close();
    readinessServer.close();
    metricsServer.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Override
  public void stopNow() {
    callerServer
        .activePolicies()
        .forEach(
            policy ->
                LOG.warn(
                    "exchange-cut",
                    "service",
                    policy.service(),
                    "account",
                    policy.account(),
                    "route",
                    policy.route()));
    stopNowRequested.set(true);
  }
}
