package org.waxwingbeam.tools.testing;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.waxwingbeam.caller.PoisonRequestDetector;
import org.waxwingbeam.caller.net.CallerServer;
import org.waxwingbeam.caller.net.ClassifierCache;
import org.waxwingbeam.caller.net.ExchangeContext;
import org.waxwingbeam.caller.net.RequestIds;
import org.waxwingbeam.caller.net.RequestLog;
import org.waxwingbeam.caller.net.RetryBudgets;
import org.waxwingbeam.caller.net.SharedDispatcher;
import org.waxwingbeam.control.AppliedConfiguration;
import org.waxwingbeam.control.ClaimClient;
import org.waxwingbeam.metrics.EntryMetrics;
import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.AccountTerms;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.RouteRule;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.Template;
import org.waxwingbeam.model.TemplateName;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.settings.EntrySettings;
import org.waxwingbeam.target.Dispatcher;
import org.waxwingbeam.target.net.TargetConnections;

/**
 * The request path of an entry instance, from its caller port to its targets. Its configuration has
 * one template and the client accounts {@code alpha} and {@code beta}.
 *
 * @since 0.1.0
 */
public final class EntryFixture implements AutoCloseable {
  /** The host of the client account {@code alpha}. */
  public static final String HOST = "alpha.orders.example";

  /** The host of the client account {@code beta}. */
  public static final String OTHER_HOST = "beta.orders.example";

  /** Caller limits that no test reaches. */
  public static final EntrySettings.CallerLimits ORDINARY_LIMITS =
      new EntrySettings.CallerLimits(16_384, 5_000, 60_000);

  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private static final TemplateName TEMPLATE = new TemplateName("orders");

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final TargetConnections connections;
  private final AtomicBoolean draining = new AtomicBoolean();
  private final CallerServer server;

  /**
   * Starts the entry instance on a free port.
   *
   * @param dispatcher chooses targets
   * @param parameters the template's parameters
   * @param limits limits on callers' requests
   * @param shared the instance's name and the services it shares with other entry instances
   * @param protocols the protocols of callers and targets
   */
  public EntryFixture(
      Dispatcher dispatcher,
      Parameters parameters,
      EntrySettings.CallerLimits limits,
      InstanceServices shared,
      ExchangeContext.Protocols protocols) {
    connections = new TargetConnections(protocols.target(), CONNECT_TIMEOUT_MS);
    AppliedConfiguration applied = new AppliedConfiguration();
    applied.applyIfNewer(configuration(parameters));
    ExchangeContext context =
        new ExchangeContext(
            new SharedDispatcher(dispatcher, System::nanoTime),
            connections,
            new ClassifierCache(applied),
            protocols,
            (maxDurationNanos, idempotent) ->
                Optional.of(ErrorKind.SHUTTING_DOWN).filter(kind -> draining.get()),
            limit -> limit,
            new RetryBudgets(),
            new RequestIds(shared.instance() + "-", System.currentTimeMillis()),
            new InstanceName(shared.instance()),
            shared.claims(),
            shared.poison(),
            new RequestLog(),
            new EntryMetrics(registry),
            new Random(),
            System::nanoTime);
    server = new CallerServer(eventLoops, new Endpoint("127.0.0.1", 0), () -> limits, context);
  }

  /**
   * Starts the entry instance on a free port, with the native protocols.
   *
   * @param dispatcher chooses targets
   * @param parameters the template's parameters
   * @param limits limits on callers' requests
   * @param shared the instance's name and the services it shares with other entry instances
   */
  public EntryFixture(
      Dispatcher dispatcher,
      Parameters parameters,
      EntrySettings.CallerLimits limits,
      InstanceServices shared) {
    this(dispatcher, parameters, limits, shared, ExchangeContext.Protocols.NATIVE);
  }

  /** Starts a single entry instance with ordinary limits. */
  public EntryFixture(Dispatcher dispatcher, Parameters parameters) {
    this(dispatcher, parameters, ORDINARY_LIMITS, InstanceServices.unshared());
  }

  /** Returns the value of a counter for a label value, or 0 if nothing was counted. */
  public double counterValue(String counter, String label) {
    return registry.scrape(name -> name.equals(counter)).stream()
        .flatMap(snapshot -> snapshot.getDataPoints().stream())
        .filter(point -> point.getLabels().stream().anyMatch(l -> l.getValue().equals(label)))
        .mapToDouble(point -> ((CounterSnapshot.CounterDataPointSnapshot) point).getValue())
        .sum();
  }

  /**
   * The name of an entry instance and the services that it shares with other entry instances.
   *
   * @param instance the name of this entry instance
   * @param claims the client that claims idempotency keys
   * @param poison the detector of requests that crash targets
   */
  public record InstanceServices(
      String instance, ClaimClient claims, PoisonRequestDetector poison) {
    /** Returns services for an entry instance that shares them with no other. */
    public static InstanceServices unshared() {
      return new InstanceServices("entry-1", new TableClaimClient(), new PoisonRequestDetector());
    }
  }

  /**
   * Returns a configuration whose routes are {@code GET /listings/**} (idempotent), {@code GET
   * /transfers/**} (idempotent, a transfer), {@code POST /uploads/**} (a transfer) and {@code POST
   * /orders} (not idempotent).
   */
  public static Configuration configuration(Parameters parameters) {
    Template template =
        new Template(
            TEMPLATE,
            new ServiceName("orders"),
            "{account}.orders.example",
            List.of(
                rule("listing", "GET", "/listings/**", true, false),
                rule("listing-head", "HEAD", "/listings/**", true, false),
                rule("download", "GET", "/transfers/**", true, true),
                rule("upload", "POST", "/uploads/**", false, true),
                rule("order", "POST", "/orders", false, false)),
            parameters);
    TreeMap<TemplateName, Template> templates = new TreeMap<>();
    templates.put(TEMPLATE, template);
    TreeMap<AccountName, Account> accounts = new TreeMap<>();
    List.of("alpha", "beta").forEach(name -> addAccount(accounts, new AccountName(name)));
    return new Configuration(1, templates, accounts, new TreeSet<>(), new TreeMap<>());
  }

  private static RouteRule rule(
      String name, String method, String path, boolean idempotent, boolean transfer) {
    return new RouteRule(new RouteName(name), Optional.of(method), path, idempotent, transfer);
  }

  private static void addAccount(Map<AccountName, Account> accounts, AccountName name) {
    AccountTerms terms = new AccountTerms(TEMPLATE, Parameters.NONE);
    accounts.put(name, new Account(name, List.of(terms)));
  }

  /** Returns the address to which callers connect. */
  public Endpoint endpoint() {
    return server.endpoint();
  }

  /** Returns the connections to targets. */
  public TargetConnections connections() {
    return connections;
  }

  /** Starts to drain: refuses new requests and lets active ones end. */
  public void drain() {
    draining.set(true);
    server.drain();
  }

  /** Returns the number of active exchanges. */
  public int activeExchanges() {
    return server.activeExchanges();
  }

  @Override
  public void close() {
    server.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
