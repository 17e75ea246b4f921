package org.waxwingbeam.tools.testing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.Dispatcher;

/**
 * A simulated entry instance around a real dispatcher: it sends attempts to simulated targets,
 * retries refused ones, hedges, and reports each completion to the dispatcher.
 *
 * @since 0.1.0
 */
public final class SimulatedEntry {
  /** Time from arrival within which a request must start at a target. */
  public static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int MAX_ATTEMPTS = 3;
  private static final int QUEUE_LIMIT = 64;
  private static final int SHED_RANK = 5;

  private final EventLoop loop;
  private final DataCentreName dataCentre;
  private final Dispatcher dispatcher;
  private final SimulatedFleet fleet;
  private final Hedging hedging;
  private final Map<Long, Exchange> exchangesByAttemptId = new HashMap<>();
  private long nextAttemptId;
  private double allowedHedges;

  SimulatedEntry(
      EventLoop loop,
      DataCentreName dataCentre,
      Dispatcher dispatcher,
      SimulatedFleet fleet,
      Hedging hedging) {
    this.loop = loop;
    this.dataCentre = dataCentre;
    this.dispatcher = dispatcher;
    this.fleet = fleet;
    this.hedging = hedging;
  }

  /** Returns the entry's data centre. */
  public DataCentreName dataCentre() {
    return dataCentre;
  }

  /** Runs the dispatcher's periodic work and applies the decisions that it returns. */
  public void tick() {
    dispatcher.tick(loop.now()).forEach(this::applyDecision);
  }

  /** Handles a request from a caller. */
  public void handleRequest(ServiceName service, AccountName account, RouteName route) {
    Exchange exchange = new Exchange(service, account, route);
    allowedHedges = Math.min(hedging.burst(), allowedHedges + hedging.ratio());
    requestAttempt(exchange, QUEUE_LIMIT);
    if (hedging.delayNanos() > 0) {
      loop.schedule(hedging.delayNanos(), () -> hedge(exchange));
    }
  }

  private void hedge(Exchange exchange) {
    if (exchange.ended || exchange.attempts.isEmpty() || allowedHedges < 1) {
      return;
    }
    allowedHedges--;
    requestAttempt(exchange, 0);
  }

  private void requestAttempt(Exchange exchange, int queueLimit) {
    long attemptId = nextAttemptId++;
    exchangesByAttemptId.put(attemptId, exchange);
    exchange.openAttempts++;
    DispatchRequest request =
        new DispatchRequest(
            attemptId,
            exchange.service,
            exchange.account,
            exchange.route,
            true,
            SHED_RANK,
            queueLimit,
            exchange.arrivedNanos + DEADLINE_NANOS,
            exchange.arrivedNanos + DEADLINE_NANOS,
            false,
            Set.copyOf(exchange.triedTargets));
    applyDecision(dispatcher.request(loop.now(), request));
  }

  private void applyDecision(Decision decision) {
    switch (decision) {
      case Decision.Assigned assigned -> sendAttempt(assigned);
      case Decision.Queued queued -> {}
      case Decision.Refused refused ->
          handleRefusal(exchangesByAttemptId.remove(refused.attemptId()), refused);
    }
  }

  private void handleRefusal(Exchange exchange, Decision.Refused refused) {
    exchange.openAttempts--;
    if (!exchange.ended && exchange.openAttempts == 0) {
      exchange.ended = true;
      fleet.record().recordRefusal(refused.kind());
    }
  }

  private void sendAttempt(Decision.Assigned assigned) {
    Exchange exchange = exchangesByAttemptId.get(assigned.attemptId());
    if (exchange.ended) {
      exchangesByAttemptId.remove(assigned.attemptId());
      reportCompletion(assigned, AttemptOutcome.CANCELLED, 0, Optional.empty());
      return;
    }
    exchange.triedTargets.add(assigned.target());
    SimulatedTarget target = fleet.target(assigned.target());
    long oneWay = fleet.oneWayNanos(dataCentre, target.announcement().dataCentre());
    Attempt attempt = new Attempt(assigned, exchange, loop.now(), oneWay);
    exchange.attempts.put(assigned.attemptId(), attempt);
    loop.schedule(oneWay, () -> attempt.arriveAt(target));
  }

  private void reportCompletion(
      Decision.Assigned assigned,
      AttemptOutcome outcome,
      long latencyNanos,
      Optional<SimulatedTarget.Response> response) {
    exchangesByAttemptId.remove(assigned.attemptId());
    Completion completion =
        new Completion(
            assigned.attemptId(),
            assigned.target(),
            outcome,
            latencyNanos,
            response.map(SimulatedTarget.Response::report));
    fleet.record().recordAttempt(assigned, outcome, latencyNanos);
    dispatcher.complete(loop.now(), completion).forEach(this::applyDecision);
  }

  private void handleResponse(Attempt attempt, SimulatedTarget.Response response) {
    Exchange exchange = attempt.exchange;
    exchange.attempts.remove(attempt.assigned.attemptId());
    exchange.openAttempts--;
    reportCompletion(
        attempt.assigned,
        response.outcome(),
        loop.now() - attempt.sentNanos,
        Optional.of(response));
    if (exchange.ended) {
      return;
    }
    if (isRefusal(response.outcome()) && exchange.triedTargets.size() < MAX_ATTEMPTS) {
      requestAttempt(exchange, QUEUE_LIMIT);
    } else if (response.outcome() == AttemptOutcome.SUCCESS || exchange.openAttempts == 0) {
      exchange.ended = true;
      fleet.record().recordResponse(response.outcome(), loop.now() - exchange.arrivedNanos);
      List.copyOf(exchange.attempts.values()).forEach(Attempt::cancel);
    }
  }

  private static boolean isRefusal(AttemptOutcome outcome) {
    return switch (outcome) {
      case REFUSED_OVERLOADED,
          REFUSED_COLD,
          REFUSED_DRAINING,
          REFUSED_WRONG_TARGET,
          CONNECT_FAILED ->
          true;
      case SUCCESS, FAILURE, CONNECTION_LOST, TIMED_OUT, CANCELLED -> false;
    };
  }

  /**
   * Says when a request is hedged: sent to a second target while the first attempt is outstanding.
   *
   * @param delayNanos time without a response after which a request is hedged, 0 for never
   * @param ratio hedges allowed for each request, a fraction
   * @param burst maximum number of allowed hedges that can accumulate
   */
  public record Hedging(long delayNanos, double ratio, double burst) {
    /** Sends no hedges. */
    public static final Hedging NONE = new Hedging(0, 0, 0);
  }

  /** One caller's request. */
  private final class Exchange {
    private final ServiceName service;
    private final AccountName account;
    private final RouteName route;
    private final long arrivedNanos = loop.now();
    private final Set<TargetId> triedTargets = new HashSet<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private int openAttempts;
    private boolean ended;

    Exchange(ServiceName service, AccountName account, RouteName route) {
      this.service = service;
      this.account = account;
      this.route = route;
    }
  }

  /** One attempt, from its dispatch to the arrival of its response. */
  private final class Attempt {
    private final Decision.Assigned assigned;
    private final Exchange exchange;
    private final long sentNanos;
    private final long oneWayNanos;
    private SimulatedTarget.Job job;
    private boolean cancelled;

    Attempt(Decision.Assigned assigned, Exchange exchange, long sentNanos, long oneWayNanos) {
      this.assigned = assigned;
      this.exchange = exchange;
      this.sentNanos = sentNanos;
      this.oneWayNanos = oneWayNanos;
    }

    void arriveAt(SimulatedTarget target) {
      if (!cancelled) {
        job =
            target.serve(
                exchange.route, response -> loop.schedule(oneWayNanos, () -> onResponse(response)));
      }
    }

    private void onResponse(SimulatedTarget.Response response) {
      if (!cancelled) {
        handleResponse(this, response);
      }
    }

    void cancel() {
      cancelled = true;
      exchange.attempts.remove(assigned.attemptId());
      loop.schedule(
          oneWayNanos,
          () -> {
            if (job != null) {
              job.cancel();
            }
          });
      reportCompletion(
          assigned, AttemptOutcome.CANCELLED, loop.now() - sentNanos, Optional.empty());
    }
  }
}
