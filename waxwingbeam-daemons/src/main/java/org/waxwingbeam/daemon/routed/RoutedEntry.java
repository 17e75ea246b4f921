package org.waxwingbeam.daemon.routed;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.caller.PoisonRequestDetector;
import org.waxwingbeam.caller.RouteTable;
import org.waxwingbeam.caller.SlidingWindowBudget;
import org.waxwingbeam.caller.net.CallerServer;
import org.waxwingbeam.caller.net.ExchangeContext;
import org.waxwingbeam.caller.net.RequestIds;
import org.waxwingbeam.caller.net.RequestLog;
import org.waxwingbeam.caller.net.RetryBudgets;
import org.waxwingbeam.caller.net.SharedDispatcher;
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
import org.waxwingbeam.settings.EntrySettings;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.target.TargetDirectory;
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
import org.waxwingbeam.wire.feed.TargetLoad;
import org.waxwingbeam.wire.feed.TargetRecord;
import org.waxwingbeam.wire.routing.CallerLimits;
import org.waxwingbeam.wire.routing.RoutingState;

/**
 * Runs an entry instance for routed services: serves callers by the routing document in force and
 * places their requests by what targets report.
 *
 * <p>One event loop runs everything.
 *
 * <pre>{@code
 * RoutedEntry entry = RoutedEntry.start(group, settings, protocols);
 * entry.leave(6_000);
 * }</pre>
 *
 * @since 0.1.0
 */
// The result of a timer that never ends has no reader.
@SuppressWarnings("FutureReturnValueIgnored")
public final class RoutedEntry implements AutoCloseable {
  private static final EventLog LOG = new EventLog(RoutedEntry.class);

  /** Pause between two looks at the connections to control replicas. */
  private static final long FEED_TICK_MS = 100;

  /** Pause between two looks at which targets' status is to be checked. */
  private static final long PROBE_TICK_MS = 20;

  /** Time after which a connection to a target that has not opened is given up. */
  private static final int CONNECT_TIMEOUT_MS = 300;

  /** Number of entry instances that is assumed until a control replica has told it. */
  private static final int UNKNOWN_FLEET_SIZE = 100;

  /** Time for which new callers still arrive: two readiness checks a second apart, and a margin. */
  private static final long HANDOVER_MS = 2_500;

  /** Part of the time allowed for the end of the process that is left unused. */
  private static final long END_MARGIN_MS = 800;

  private static final long LEAVE_POLL_MS = 50;

  /** Time without a request after which none is on its way any more. */
  private static final long QUIET_MS = 400;

  private static final long NANOS_PER_MS = 1_000_000;

  /** Targets that must have crashed before a request is refused. */
  private static final int CRASHES_UNTIL_REFUSAL = 3;

  /** Limits that apply until a routing document has stated others. */
  private static final EntrySettings.CallerLimits FIRST_LIMITS =
      new EntrySettings.CallerLimits(16_384, 3_000, 15_000);

  /**
   * Time beyond the stated idle limit for which a connection is kept, so that a caller that keeps
   * to the limit is never cut off.
   */
  private static final long IDLE_MARGIN_MS = 1_000;

  private final Settings settings;
  private final EventLoopGroup group;
  private final PrometheusRegistry metrics = new PrometheusRegistry();
  private final TargetDirectory directory = new TargetDirectory();
  private final PoisonRequestDetector poison = new PoisonRequestDetector(CRASHES_UNTIL_REFUSAL);
  private final SplittableRandom random = new SplittableRandom();
  private final PlacementDispatcher dispatcher;
  private final FeedClient feed;
  private final LoadExchange loads;
  private final LoadPeerLists peers;
  private final TargetConnections connections;
  private final TargetProber prober;
  private final StatusCheckLog statusChecks;
  private final CallerServer callers;
  private RoutingState routing = RoutingState.getDefaultInstance();
  private RouteTable routes = new RouteTable();
  private EntrySettings.CallerLimits limits = FIRST_LIMITS;
  private volatile boolean leaving;

  /**
   * States where an entry instance runs.
   *
   * @param instance its name
   * @param dataCentre where it is
   * @param callers where callers connect
   * @param loads where other entry instances send load reports
   * @param replicas where the first control replicas take entry instances
   * @param retries the retry budget of each service for the whole fleet
   * @param checksPerSecond status checks that the whole fleet may send to one target
   */
  public record Settings(
      InstanceName instance,
      DataCentreName dataCentre,
      Endpoint callers,
      Endpoint loads,
      List<Endpoint> replicas,
      SlidingWindowBudget.Limits retries,
      double checksPerSecond) {
    /** Copies the list. */
    public Settings {
      replicas = List.copyOf(replicas);
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
                settings.dataCentre().value(),
                this::fleetSize,
                random,
                new LoadNews(),
                settings.checksPerSecond(),
                new StoppedMoves()));
    loads = LoadExchange.start(group, settings.loads(), this::receive);
    peers = new LoadPeerLists();
    connections = new TargetConnections(protocols.target(), CONNECT_TIMEOUT_MS);
    prober = new TargetProber(connections, protocols.target(), group.next());
    EntryGreeting greeting =
        EntryGreeting.newBuilder()
            .setName(settings.instance().value())
            .setDataCentre(settings.dataCentre().value())
            .setBootId(bootId)
            .setLoadsAddress(settings.loads().toString())
            .build();
    feed = new FeedClient(group.next(), greeting, settings.replicas(), new FeedListener());
    EntryMetrics entryMetrics = new EntryMetrics(metrics);
    statusChecks = new StatusCheckLog(entryMetrics);
    ExchangeContext context =
        new ExchangeContext(
            new SharedDispatcher(dispatcher, System::nanoTime),
            connections,
            (method, host, uri) -> routes.classify(method, host, uri),
            protocols,
            Optional::empty,
            this::connectionShare,
            new RetryBudgets(() -> new SlidingWindowBudget(settings.retries(), this::fleetSize)),
            new RequestIds("%s-%x-".formatted(settings.instance().value(), bootId), bootId),
            settings.instance(),
            new NoClaims(),
            poison,
            new RequestLog(),
            entryMetrics,
            random,
            System::nanoTime);
    callers = new CallerServer(group, settings.callers(), () -> limits, context);
  }

  /**
   * Starts an entry instance.
   *
   * @param group its one event loop runs everything
   * @param settings where it runs
   * @param protocols how callers and targets are spoken with
   */
  public static RoutedEntry start(
      EventLoopGroup group, Settings settings, ExchangeContext.Protocols protocols) {
    RoutedEntry entry = new RoutedEntry(group, settings, protocols);
    group.next().scheduleAtFixedRate(entry::tick, 0, FEED_TICK_MS, TimeUnit.MILLISECONDS);
    group.next().scheduleAtFixedRate(entry::probe, 0, PROBE_TICK_MS, TimeUnit.MILLISECONDS);
    LOG.info(
        "entry-started",
        "instance",
        settings.instance(),
        "data_centre",
        settings.dataCentre(),
        "callers",
        settings.callers(),
        "replicas",
        settings.replicas());
    return entry;
  }

  private void tick() {
    long now = System.nanoTime();
    feed.tick(now);
    dispatcher
        .drainSamples(now)
        .forEach(each -> feed.sendToAll(EntryFrame.newBuilder().setEvidence(each).build()));
    poison
        .drainChanges(now)
        .forEach(
            each ->
                feed.sendToAll(
                    EntryFrame.newBuilder().setCrash(CrashSightings.encode(each)).build()));
  }

  private void probe() {
    peers
        .duty()
        .ifPresent(
            duty -> dispatcher.startDueProbes(System.nanoTime(), duty).forEach(this::sendProbe));
  }

  private void sendProbe(ProbeRequest order) {
    prober.probe(
        order,
        connectionShare(order.connectionLimit()),
        result -> {
          statusChecks.note(order, result);
          dispatcher.completeProbe(System.nanoTime(), order, result);
        });
  }

  private int fleetSize() {
    return feed.fleetSize().orElse(UNKNOWN_FLEET_SIZE);
  }

  private int connectionShare(int limit) {
    return Math.max(1, limit / Math.max(1, fleetSize()));
  }

  /** Returns why this entry instance takes no new callers, or empty if it does. */
  public Optional<ErrorKind> refusal() {
    if (leaving) {
      return Optional.of(ErrorKind.SHUTTING_DOWN);
    }
    return routes.version() == 0 || !knowsTargets()
        ? Optional.of(ErrorKind.ISOLATED)
        : Optional.empty();
  }

  private boolean knowsTargets() {
    return routing.getDocument().getServicesList().stream()
        .anyMatch(each -> dispatcher.readyTargetCount(each.getName()) > 0);
  }

  /**
   * Becomes unready, lets answers announce that their connection closes, and waits for the requests
   * under way. Must not be called on the event loop.
   *
   * @param allowedMs time after which the process is ended by force, in milliseconds
   */
  public void leave(long allowedMs) throws InterruptedException {
    final long endNanos = System.nanoTime() + (allowedMs - END_MARGIN_MS) * NANOS_PER_MS;
    leaving = true;
    callers.announceClose();
    LOG.info(
        "entry-leaving", "instance", settings.instance(), "under_way", callers.activeExchanges());
    Thread.sleep(Math.min(HANDOVER_MS, allowedMs / 2));
    callers.stopListening();
    callers.drain();
    awaitQuiet(endNanos);
  }

  /**
   * Waits until nothing has been served for a while. A single look is not enough: a request that
   * has arrived is counted only once it has been read.
   */
  private void awaitQuiet(long endNanos) throws InterruptedException {
    long quietMs = 0;
    while (quietMs < QUIET_MS && System.nanoTime() - endNanos < 0) {
      Thread.sleep(LEAVE_POLL_MS);
      quietMs = callers.activeExchanges() == 0 ? quietMs + LEAVE_POLL_MS : 0;
    }
  }

  /** Returns the number of requests that are being served. */
  public int underWay() {
    return callers.activeExchanges();
  }

  /** Returns where callers connect. */
  public Endpoint endpoint() {
    return callers.endpoint();
  }

  /** Returns what is measured of this entry instance. */
  public PrometheusRegistry metrics() {
    return metrics;
  }

  /** Adds addresses of control replicas that the settings name. */
  public void addReplicas(List<Endpoint> replicas) {
    group.next().execute(() -> feed.addSeeds(replicas));
  }

  @Override
  public void close() {
    callers.close();
    feed.close();
    loads.close();
  }

  private void apply(RoutingState state) {
    if (state.getRevision() <= routing.getRevision()) {
      return;
    }
    boolean other = state.getDocument().getVersion() != routes.version();
    routing = state;
    if (other) {
      routes = new RouteTable(state.getDocument(), random.nextDouble());
      limits = limits(state.getDocument().getLimits());
    }
    dispatcher.configure(state);
    LOG.info(
        "routing-applied",
        "revision",
        state.getRevision(),
        "document",
        state.getDocument().getVersion(),
        "data_centres_out",
        state.getDataCentresOutList(),
        "moves",
        state.getMovesCount());
  }

  private static EntrySettings.CallerLimits limits(CallerLimits stated) {
    return new EntrySettings.CallerLimits(
        stated.getHeaderBytes() > 0 ? stated.getHeaderBytes() : FIRST_LIMITS.headerBytes(),
        stated.getHeaderTimeoutMs() > 0
            ? stated.getHeaderTimeoutMs()
            : FIRST_LIMITS.headerTimeoutMs(),
        (stated.getIdleTimeoutMs() > 0 ? stated.getIdleTimeoutMs() : FIRST_LIMITS.keepAliveIdleMs())
            + IDLE_MARGIN_MS);
  }

  private void applyTarget(TargetRecord record) {
    long now = System.nanoTime();
    if (directory.merge(now, record) == TargetDirectory.MergeResult.CHANGED) {
      directory.find(now, record.getId()).ifPresent(each -> dispatcher.update(now, each));
      TargetLog.changed(record);
    }
  }

  private void receive(LoadBatch batch) {
    long now = System.nanoTime();
    batch
        .getLoadsList()
        .forEach(
            each -> {
              TargetId target = new TargetId(each.getHost(), each.getPort());
              if (each.getSlots() > 0) {
                dispatcher.applyReport(now, target, LoadNews.report(each));
              }
              if (each.getColdLeftMs() > 0) {
                dispatcher.markCold(now, target, each.getColdLeftMs());
              }
              if (each.getBegun() > 0) {
                dispatcher.addRemoteRequests(now, target, each.getBegun());
              }
            });
  }

  /** Tells other entry instances what this one learns of targets' load. */
  private final class LoadNews implements PlacementContext.LoadListener {
    static LoadReport report(TargetLoad load) {
      return new LoadReport(
          load.getRunning(), load.getWaiting(), load.getSlots(), load.getSlownessPercent());
    }

    @Override
    public void onRequestSent(TargetId target) {
      loads.send(about(target).setBegun(1).build());
    }

    @Override
    public void onColdTarget(TargetId target, int coldLeftMs) {
      loads.send(about(target).setColdLeftMs(coldLeftMs).build());
    }

    private static TargetLoad.Builder about(TargetId target) {
      return TargetLoad.newBuilder().setHost(target.host()).setPort(target.port());
    }

    @Override
    public void onReport(TargetId target, LoadReport report) {
      loads.send(
          about(target)
              .setRunning(report.inFlight())
              .setWaiting(report.queued())
              .setSlots(report.slots())
              .setSlownessPercent(report.slownessPercent())
              .build());
    }
  }

  /** Takes what control replicas tell. */
  private final class FeedListener implements FeedClient.Listener {
    @Override
    public void receive(Endpoint replica, ControlFrame frame) {
      switch (frame.getKindCase()) {
        case ROUTING -> apply(frame.getRouting());
        case TARGET -> applyTarget(frame.getTarget());
        case LOAD_PEERS -> {
          peers.put(replica, frame.getLoadPeers());
          loads.setPeers(peers.addresses());
        }
        case CRASH -> poison.merge(System.nanoTime(), CrashSightings.decode(frame.getCrash()));
        default -> {}
      }
    }

    @Override
    public void onConnectedCountChanged(int replicas) {
      LOG.info("replicas-connected", "instance", settings.instance(), "replicas", replicas);
    }

    @Override
    public void onDisconnected(Endpoint replica) {
      peers.remove(replica);
    }
  }
}
