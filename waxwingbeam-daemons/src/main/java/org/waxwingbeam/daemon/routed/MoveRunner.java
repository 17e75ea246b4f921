package org.waxwingbeam.daemon.routed;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.operator.RoutingStateMachine;
import org.waxwingbeam.replica.LeaderTerm;
import org.waxwingbeam.target.placement.MoveController;
import org.waxwingbeam.wire.feed.VersionEvidence;
import org.waxwingbeam.wire.routing.RoutingChange;
import org.waxwingbeam.wire.routing.ServiceMove;

/** Advances version moves and rolls them back while this replica is the leader. */
final class MoveRunner {
  private static final EventLog LOG = new EventLog(MoveRunner.class);

  /**
   * Maximum time from an operator's first attempt to submit an order to its acceptance that is
   * taken into account: two attempts at replicas that do not respond within a second.
   */
  private static final long MAX_ORDER_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private final RoutingStateMachine routing;
  private final Consumer<RoutingChange> proposer;
  private final Map<String, MoveController> controllers = new HashMap<>();

  /**
   * Creates a runner.
   *
   * @param routing the replicated routing state
   * @param proposer proposes a change for the replicated log
   */
  MoveRunner(RoutingStateMachine routing, Consumer<RoutingChange> proposer) {
    this.routing = routing;
    this.proposer = proposer;
  }

  /**
   * Applies the samples that an entry instance has sent on a move. Followers record them too, so
   * that a new leader knows the samples from before its election.
   */
  void applySamples(String entry, VersionEvidence samples) {
    long now = System.nanoTime();
    routing
        .move(samples.getService())
        .filter(each -> each.getState() == ServiceMove.State.RUNNING)
        .filter(each -> each.getNumber() == samples.getMove())
        .ifPresent(each -> controllerFor(now, each).applySamples(now, entry, samples));
  }

  /**
   * Proposes the next step of every running move for which one is due.
   *
   * @param nowNanos the current time
   * @param term the term in which this replica leads
   */
  void tick(long nowNanos, LeaderTerm term) {
    routing.state().getMovesList().stream()
        .filter(each -> each.getState() == ServiceMove.State.RUNNING)
        .forEach(each -> advance(nowNanos, term, each));
  }

  /**
   * Returns when a move that the leader learns of now may first have been ordered. Its time limit
   * counts from there, and soon after an election the operator may have tried in vain before.
   */
  private static long orderNanos(long nowNanos, LeaderTerm term) {
    return nowNanos - term.startNanos() < MAX_ORDER_DELAY_NANOS
        ? Math.max(term.previousContactNanos(), nowNanos - MAX_ORDER_DELAY_NANOS)
        : nowNanos;
  }

  private void advance(long nowNanos, LeaderTerm term, ServiceMove move) {
    controllerFor(orderNanos(nowNanos, term), move)
        .next(nowNanos, move)
        .ifPresent(
            next -> {
              LOG.info(
                  "move-advanced",
                  "service",
                  next.getService(),
                  "to",
                  next.getTo(),
                  "state",
                  next.getState(),
                  "share_per_mille",
                  next.getSharePerMille());
              proposer.accept(RoutingChange.newBuilder().setAdvanceMove(next).build());
            });
  }

  private MoveController controllerFor(long startNanos, ServiceMove move) {
    return controllers.compute(
        move.getService(),
        (service, known) ->
            known != null && known.number() == move.getNumber()
                ? known
                : new MoveController(startNanos, move));
  }
}
