package org.waxwingbeam.daemon.routed;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.waxwingbeam.caller.Classification;
import org.waxwingbeam.caller.RequestRouter;
import org.waxwingbeam.caller.RouteTable;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.settings.EntrySettings;
import org.waxwingbeam.wire.routing.CallerLimits;
import org.waxwingbeam.wire.routing.RoutingState;

/**
 * The routing state that an entry instance has applied. Revisions only grow, and a state is applied
 * as a whole or not at all. Each request is routed by the state that is in force when it is read.
 */
final class AppliedRouting implements RequestRouter {
  private static final EventLog LOG = new EventLog(AppliedRouting.class);

  /** Limits until the first routing document arrives, and for values that it leaves unset. */
  private static final EntrySettings.CallerLimits DEFAULT_CALLER_LIMITS =
      new EntrySettings.CallerLimits(16_384, 3_000, 15_000);

  /**
   * Added to the configured idle timeout, so that a caller that reuses its connection within the
   * timeout never finds it closed.
   */
  private static final long KEEP_ALIVE_MARGIN_MS = 1_000;

  private final Consumer<RoutingState> dispatcher;
  private final RandomGenerator random;
  private RoutingState state = RoutingState.getDefaultInstance();
  private RouteTable routeTable = new RouteTable();
  private EntrySettings.CallerLimits callerLimits = DEFAULT_CALLER_LIMITS;

  /**
   * Creates an empty state, with which every request is refused.
   *
   * @param dispatcher configures the choice of targets by a state
   * @param random spreads the first requests of the entry instances over the services of a route
   */
  AppliedRouting(Consumer<RoutingState> dispatcher, RandomGenerator random) {
    this.dispatcher = dispatcher;
    this.random = random;
  }

  /** Applies a state, unless one with the same or a higher revision is applied already. */
  void applyIfNewer(RoutingState received) {
    if (received.getRevision() <= state.getRevision()) {
      return;
    }
    // Whatever fails does so before the first field is replaced.
    RouteTable table =
        received.getDocument().getVersion() == routeTable.version()
            ? routeTable
            : new RouteTable(received.getDocument(), random.nextDouble());
    EntrySettings.CallerLimits limits = toCallerLimits(received.getDocument().getLimits());
    dispatcher.accept(received);
    routeTable = table;
    callerLimits = limits;
    state = received;
    LOG.info(
        "routing-applied",
        "revision",
        received.getRevision(),
        "document",
        received.getDocument().getVersion(),
        "data_centres_out",
        received.getDataCentresOutList(),
        "moves",
        received.getMovesCount());
  }

  private static EntrySettings.CallerLimits toCallerLimits(CallerLimits document) {
    return new EntrySettings.CallerLimits(
        document.getHeaderBytes() > 0
            ? document.getHeaderBytes()
            : DEFAULT_CALLER_LIMITS.headerBytes(),
        document.getHeaderTimeoutMs() > 0
            ? document.getHeaderTimeoutMs()
            : DEFAULT_CALLER_LIMITS.headerTimeoutMs(),
        (document.getIdleTimeoutMs() > 0
                ? document.getIdleTimeoutMs()
                : DEFAULT_CALLER_LIMITS.keepAliveIdleMs())
            + KEEP_ALIVE_MARGIN_MS);
  }

  RoutingState state() {
    return state;
  }

  EntrySettings.CallerLimits callerLimits() {
    return callerLimits;
  }

  @Override
  public Classification classify(String method, String host, String uri) {
    return routeTable.classify(method, host, uri);
  }

  @Override
  public long version() {
    return routeTable.version();
  }
}
