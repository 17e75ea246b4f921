package org.waxwingbeam.daemon.routed;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.caller.PoisonRequestDetector;
import org.waxwingbeam.caller.ShutdownWindow;
import org.waxwingbeam.caller.SlidingWindowBudget;
import org.waxwingbeam.caller.net.CallerServer;
import org.waxwingbeam.caller.net.ExchangeContext;
import org.waxwingbeam.caller.net.RequestIds;
import org.waxwingbeam.caller.net.RequestLog;
import org.waxwingbeam.caller.net.RetryBudgets;
import org.waxwingbeam.caller.net.SharedDispatcher;
import org.waxwingbeam.concurrent.RepeatingTask;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.control.net.FeedClient;
import org.waxwingbeam.control.net.LoadPeerLists;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.metrics.EntryMetrics;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.peer.net.LoadExchange;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.target.TargetDirectory;
import org.waxwingbeam.target.TargetRecordValidator;
import org.waxwingbeam.target.net.TargetConnections;
import org.waxwingbeam.target.net.TargetProber;
import org.waxwingbeam.target.placement.PlacementContext;
import org.waxwingbeam.target.placement.PlacementDispatcher;
import org.waxwingbeam.target.placement.ProbeRequest;
import org.waxwingbeam.target.placement.StoppedMoves;
import org.waxwingbeam.wire.feed.ControlFrame;
import org.waxwingbeam.wire.feed.EntryFrame;
import org.waxwingbeam.wire.feed.EntryGreeting;
import org.waxwingbeam.wire.feed.LoadBatch;
import org.waxwingbeam.wire.feed.TargetRecord;

/**
 * Runs an entry instance for routed services: routes callers' requests by the routing document in
 * force, and selects targets by the load that they report.
 *
 * <p>One event loop runs everything.
 *
 * <pre>{@code
 * RoutedEntry entry = RoutedEntry.start(group, settings, protocols);
 * entry.drain(6_000);
 * }</pre>
 *
 * @since 0.1.0
 */
// The futures of periodic tasks are not needed: the tasks run until the event loop stops.
@SuppressWarnings("FutureReturnValueIgnored")
public final class RoutedEntry implements AutoCloseable {
  private static final EventLog LOG = new EventLog(RoutedEntry.class);

  /** Interval of connection upkeep and of reports to the control replicas. */
  private static final long FEED_TICK_MS = 100;

  /** Interval at which status checks that are due are sent. */
  private static final long PROBE_TICK_MS = 20;

  /** The same if targets are checked only for requests, and otherwise to end their pause. */
  private static final long SLOW_PROBE_TICK_MS = 100;

  private static final int CONNECT_TIMEOUT_MS = 300;

  /** Number of entry instances that is assumed until a control replica reports it. */
  private static final int ASSUMED_FLEET_SIZE = 100;

  /**
   * Time for which an unready instance still accepts callers: two readiness checks 1 s apart, and a
   * margin.
   */
  private static final long LISTEN_WHILE_UNREADY_MS = 2_500;

  /** Part of the allowed shutdown time that is left for the rest of the process's exit. */
  private static final long SHUTDOWN_MARGIN_MS = 800;

  private static final long DRAIN_POLL_MS = 50;

  /** Idle time after which requests in transit are assumed to have arrived. */
  private static final long MIN_IDLE_MS = 400;

  private static final long NANOS_PER_MS = 1_000_000;

  /** Targets that must have crashed under a request before it is refused as poison. */
  private static final int CRASH_LIMIT = 3;

  private final Settings settings;
  private final EventLoopGroup group;
  private final PrometheusRegistry metrics = new PrometheusRegistry();
  private final TargetDirectory targetDirectory = new TargetDirectory();
  private final PoisonRequestDetector poisonDetector = new PoisonRequestDetector(CRASH_LIMIT);
  private final SplittableRandom random = new SplittableRandom();
  private final PlacementDispatcher dispatcher;
  private final SharedDispatcher sharedDispatcher;
  private final FeedClient feed;
  private final LoadExchange loadExchange;
  private final LoadPeerLists loadPeers;
  private final TargetConnections connections;
  private final TargetProber prober;
  private final StatusCheckLog statusCheckLog;
  private final RepeatingTask statusChecks =
      new RepeatingTask("status-checks", this::sendDueProbes);
  private final CallerServer callerServer;
  private final AppliedRouting routing;
  private final ShutdownWindow shutdownWindow = new ShutdownWindow();
  private boolean reportsReachAll = true;
  private volatile boolean draining;

  /**
   * Settings of an entry instance.
   *
   * @param instance the instance's name
   * @param dataCentre the data centre in which it runs
   * @param callerAddress where callers connect
   * @param loadReportAddress where other entry instances send load reports
   * @param controlAddresses the entry addresses of the first control replicas
   * @param retryLimits the retry budget of each service for the whole fleet
   * @param checksPerSecond status checks that the whole fleet may send to one target per second
   * @param leaveGraceMs time in which a target that has stated that it leaves still serves requests
   *     that no other target can serve, in milliseconds
   * @param contactMs time within which processes that can reach each other must be in contact, in
   *     milliseconds
   */
  public record Settings(
      InstanceName instance,
      DataCentreName dataCentre,
      Endpoint callerAddress,
      Endpoint loadReportAddress,
      List<Endpoint> controlAddresses,
      SlidingWindowBudget.Limits retryLimits,
      double checksPerSecond,
      long leaveGraceMs,
      long contactMs) {
    /** Copies the list of addresses. */
    public Settings {
      controlAddresses = List.copyOf(controlAddresses);
    }
  }

  private RoutedEntry(
      EventLoopGroup group, Settings settings, ExchangeContext.Protocols protocols) {
    this.settings = settings;
    this.group = group;
    final long bootId = System.currentTimeMillis();
    dispatcher =
        new PlacementDispatcher(
            new PlacementContext(
                settings.instance().value(),
                settings.dataCentre().value(),
                this::fleetSize,
                this::reportsReachAll,
                this::sendProbeSoon,
                random,
                new LoadReportSender(),
                settings.checksPerSecond(),
                new StoppedMoves(),
                settings.leaveGraceMs() * NANOS_PER_MS));
    routing = new AppliedRouting(dispatcher::configure, random);
    sharedDispatcher = new SharedDispatcher(dispatcher, System::nanoTime);
    loadExchange = LoadExchange.start(group, settings.loadReportAddress(), this::applyLoads);
    loadPeers = new LoadPeerLists();
    connections = new TargetConnections(protocols.target(), CONNECT_TIMEOUT_MS);
    prober = new TargetProber(connections, protocols.target(), group.next());
    EntryGreeting greeting =
        EntryGreeting.newBuilder()
            .setName(settings.instance().value())
            .setDataCentre(settings.dataCentre().value())
            .setBootId(bootId)
            .setLoadsAddress(settings.loadReportAddress().toString())
            .build();
    feed =
        new FeedClient(
            group.next(),
            greeting,
            settings.controlAddresses(),
            LinkLiveness.Timings.ofContact(settings.contactMs()),
            new FeedListener());
    EntryMetrics entryMetrics = new EntryMetrics(metrics);
    statusCheckLog = new StatusCheckLog(entryMetrics);
    ExchangeContext context =
        new ExchangeContext(
            sharedDispatcher,
            connections,
            routing,
            protocols,
            (maxDurationNanos, idempotent) ->
                Optional.of(ErrorKind.SHUTTING_DOWN)
                    .filter(
                        kind ->
                            !shutdownWindow.admits(
                                System.nanoTime(), maxDurationNanos, idempotent)),
            this::connectionShare,
            new RetryBudgets(
                () -> new SlidingWindowBudget(settings.retryLimits(), this::fleetSize)),
            new RequestIds("%s-%x-".formatted(settings.instance().value(), bootId), bootId),
            settings.instance(),
            new UnavailableClaimClient(),
            poisonDetector,
            new RequestLog(),
            entryMetrics,
            random,
            System::nanoTime);
    callerServer =
        new CallerServer(group, settings.callerAddress(), routing::callerLimits, context);
  }

  /**
   * Starts an entry instance.
   *
   * @param group one event loop, which runs the whole instance
   * @param settings the instance's settings
   * @param protocols adapters for the callers' and the targets' protocol
   */
  public static RoutedEntry start(
      EventLoopGroup group, Settings settings, ExchangeContext.Protocols protocols) {
    RoutedEntry entry = new RoutedEntry(group, settings, protocols);
    RepeatingTask feedTick = new RepeatingTask("feed", entry::tickFeed);
    RepeatingTask reports = new RepeatingTask("reports", entry::sendReports);
    // One timer wakes the process up less often than two.
    Runnable both =
        () -> {
          feedTick.run();
          reports.run();
        };
    group.next().scheduleAtFixedRate(both, 0, FEED_TICK_MS, TimeUnit.MILLISECONDS);
    group.next().execute(entry.statusChecks);
    LOG.info(
        "entry-started",
        "instance",
        settings.instance(),
        "data_centre",
        settings.dataCentre(),
        "callers",
        settings.callerAddress(),
        "replicas",
        settings.controlAddresses());
    return entry;
  }

  private void tickFeed() {
    feed.tick(System.nanoTime());
  }

  /** Sends what this instance has learned of version moves and of requests that crash targets. */
  private void sendReports() {
    long now = System.nanoTime();
    dispatcher
        .reportSamples(now)
        .forEach(each -> feed.sendToAll(EntryFrame.newBuilder().setEvidence(each).build()));
    poisonDetector
        .drainChanges(now)
        .forEach(
            each ->
                feed.sendToAll(
                    EntryFrame.newBuilder().setCrash(CrashRecordCodec.encode(each)).build()));
  }

  private void sendDueProbes() {
    // Scheduled first: a failure must not end the series.
    long delayMs = reportsReachAll() ? PROBE_TICK_MS : SLOW_PROBE_TICK_MS;
    group.next().schedule(statusChecks, delayMs, TimeUnit.MILLISECONDS);
    loadPeers
        .probeAssignment()
        .ifPresent(
            assignment ->
                dispatcher.startDueProbes(System.nanoTime(), assignment).forEach(this::sendProbe));
  }

  private boolean reportsReachAll() {
    return reportsReachAll;
  }

  private void updateLoadPeers() {
    reportsReachAll = loadPeers.nameAllOthers();
    // Of a large fleet, each report would reach hardly any instance that uses the same target.
    loadExchange.setPeers(reportsReachAll ? loadPeers.addresses() : List.of());
  }

  /** Sends a status check that a request waits for, after the dispatcher has queued the request. */
  private void sendProbeSoon(ProbeRequest probe) {
    group.next().execute(() -> sendProbe(probe));
  }

  private void sendProbe(ProbeRequest probe) {
    prober.probe(
        probe,
        connectionShare(probe.connectionLimit()),
        result -> {
          statusCheckLog.record(probe, result);
          sharedDispatcher.deliver(dispatcher.completeProbe(System.nanoTime(), probe, result));
        });
  }

  private int fleetSize() {
    return feed.fleetSize().orElse(ASSUMED_FLEET_SIZE);
  }

  private int connectionShare(int limit) {
    return Math.max(1, limit / Math.max(1, fleetSize()));
  }

  /** Returns why this entry instance is not ready for new callers, or empty if it is ready. */
  public Optional<ErrorKind> refusal() {
    if (draining) {
      return Optional.of(ErrorKind.SHUTTING_DOWN);
    }
    return routing.version() == 0 || !hasReadyTarget()
        ? Optional.of(ErrorKind.ISOLATED)
        : Optional.empty();
  }

  private boolean hasReadyTarget() {
    return routing.state().getDocument().getServicesList().stream()
        .anyMatch(each -> dispatcher.readyTargetCount(each.getName()) > 0);
  }

  /**
   * Drains the instance: reports itself unready, announces in responses that the connection will
   * close, stops listening, and waits for the outstanding requests. Must not be called on the event
   * loop.
   *
   * @param allowedMs time after which the process is killed, in milliseconds
   */
  public void drain(long allowedMs) throws InterruptedException {
    final long startNanos = System.nanoTime();
    final long endNanos = startNanos + (allowedMs - SHUTDOWN_MARGIN_MS) * NANOS_PER_MS;
    final long listenMs = Math.min(LISTEN_WHILE_UNREADY_MS, allowedMs / 2);
    draining = true;
    shutdownWindow.begin(startNanos + listenMs * NANOS_PER_MS, endNanos);
    callerServer.announceClose();
    LOG.info(
        "entry-leaving",
        "instance",
        settings.instance(),
        "under_way",
        callerServer.activeExchanges());
    Thread.sleep(listenMs);
    callerServer.stopListening();
    callerServer.drain();
    awaitIdle(endNanos);
  }

  /**
   * Waits until no request has been served for {@link #MIN_IDLE_MS}. A single check is not enough:
   * a request that has arrived is counted only once it has been read.
   */
  private void awaitIdle(long endNanos) throws InterruptedException {
    long idleMs = 0;
    while (idleMs < MIN_IDLE_MS && System.nanoTime() - endNanos < 0) {
      Thread.sleep(DRAIN_POLL_MS);
      idleMs = callerServer.isIdle() ? idleMs + DRAIN_POLL_MS : 0;
    }
  }

  /** Returns the number of requests that are being served. */
  public int activeRequests() {
    return callerServer.activeExchanges();
  }

  /** Returns the address on which callers connect. */
  public Endpoint endpoint() {
    return callerServer.endpoint();
  }

  /** Returns the metrics of this entry instance. */
  public PrometheusRegistry metrics() {
    return metrics;
  }

  /** Adds addresses of control replicas, such as after the settings have changed. */
  public void addReplicas(List<Endpoint> replicas) {
    group.next().execute(() -> feed.addSeeds(replicas));
  }

  @Override
  public void close() {
    callerServer.close();
    feed.close();
    loadExchange.close();
  }

  private void applyTarget(TargetRecord record) {
    Optional<String> fault = TargetRecordValidator.fault(record);
    if (fault.isPresent()) {
      LOG.warn("target-ignored", "target", record.getId(), "reason", fault.get());
      return;
    }
    long now = System.nanoTime();
    if (targetDirectory.merge(now, record) == TargetDirectory.MergeResult.CHANGED) {
      targetDirectory.find(now, record.getId()).ifPresent(each -> dispatcher.update(now, each));
      TargetLog.logChange(record);
    }
  }

  private void applyLoads(LoadBatch batch) {
    long now = System.nanoTime();
    batch
        .getLoadsList()
        .forEach(
            each -> {
              TargetId target = new TargetId(each.getHost(), each.getPort());
              if (each.getSlots() > 0) {
                dispatcher.applyReport(now, target, TargetLoadCodec.toLoadReport(each));
              }
              if (each.getColdLeftMs() > 0) {
                dispatcher.markCold(now, target, each.getColdLeftMs());
              }
              if (each.getBegun() > 0) {
                dispatcher.addRemoteRequests(now, target, each.getBegun());
              }
            });
  }

  /** Sends load reports of targets and notices of sent requests to the other entry instances. */
  private final class LoadReportSender implements PlacementContext.LoadListener {
    @Override
    public void onRequestSent(TargetId target) {
      loadExchange.send(TargetLoadCodec.requestSent(target));
    }

    @Override
    public void onColdTarget(TargetId target, int coldLeftMs) {
      loadExchange.send(TargetLoadCodec.cold(target, coldLeftMs));
    }

    @Override
    public void onReport(TargetId target, LoadReport report) {
      loadExchange.send(TargetLoadCodec.report(target, report));
    }
  }

  /** Applies the frames of control replicas. */
  private final class FeedListener implements FeedClient.Listener {
    @Override
    public void receive(Endpoint replica, ControlFrame frame) {
      switch (frame.getKindCase()) {
        case ROUTING -> routing.applyIfNewer(frame.getRouting());
        case TARGET -> applyTarget(frame.getTarget());
        case LOAD_PEERS -> {
          loadPeers.put(replica, frame.getLoadPeers());
          updateLoadPeers();
        }
        case CRASH ->
            poisonDetector.merge(System.nanoTime(), CrashRecordCodec.decode(frame.getCrash()));
        default -> {}
      }
    }

    @Override
    public long appliedRevision() {
      return routing.state().getRevision();
    }

    @Override
    public void onConnectedCountChanged(int replicas) {
      LOG.info("replicas-connected", "instance", settings.instance(), "replicas", replicas);
    }

    @Override
    public void onDisconnected(Endpoint replica) {
      loadPeers.remove(replica);
      updateLoadPeers();
    }
  }
}
