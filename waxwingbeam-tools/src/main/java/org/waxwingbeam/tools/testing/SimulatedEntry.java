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
  private final Map<Long, Exchange> byAttempt = new HashMap<>();
  private long nextAttempt;
  private double hedgeAllowance;


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
    dispatcher.tick(loop.now()).forEach(this::apply);
  }

  /** Handles a request from a caller. */
  public void arrive(ServiceName service, AccountName account, RouteName route) {
    Exchange exchange = new Exchange(service, account, route);
    hedgeAllowance = Math.min(hedging.burst(), hedgeAllowance + hedging.share());
    ask(exchange, QUEUE_LIMIT);
    if (hedging.afterNanos() > 0) {
      loop.after(hedging.afterNanos(), () -> hedge(exchange));
    }
  }

  private void hedge(Exchange exchange) {
    if (exchange.ended || exchange.jobs.isEmpty() || hedgeAllowance < 1) {
      return;
    }
    hedgeAllowance--;
    ask(exchange, 0);
  }

  private void ask(Exchange exchange, int queueLimit) {
    long attempt = nextAttempt++;
    byAttempt.put(attempt, exchange);
    exchange.open++;
    DispatchRequest request =
        new DispatchRequest(
            attempt,
            exchange.service,
            exchange.account,
            exchange.route,
            true,
            SHED_RANK,
            queueLimit,
            exchange.arrived + DEADLINE_NANOS,
            exchange.arrived + DEADLINE_NANOS,
            false,
            Set.copyOf(exchange.tried));
    apply(dispatcher.request(loop.now(), request));
  }

  private void apply(Decision decision) {
    switch (decision) {
      case Decision.Assigned assigned -> send(assigned);
      case Decision.Queued queued -> {}
      case Decision.Refused refused -> refuse(byAttempt.remove(refused.attemptId()), refused);
    }
  }

  private void refuse(Exchange exchange, Decision.Refused refused) {
    exchange.open--;
    if (!exchange.ended && exchange.open == 0) {
      exchange.ended = true;
      fleet.record().noteRefusal(refused.kind());
    }
  }

  private void send(Decision.Assigned assigned) {
    Exchange exchange = byAttempt.get(assigned.attemptId());
    if (exchange.ended) {
      byAttempt.remove(assigned.attemptId());
      complete(assigned, AttemptOutcome.CANCELLED, 0, Optional.empty());
      return;
    }
    exchange.tried.add(assigned.target());
    SimulatedTarget target = fleet.target(assigned.target());
    long oneWay = fleet.oneWayNanos(dataCentre, target.announcement().dataCentre());
    Sending sending = new Sending(assigned, exchange, loop.now(), oneWay);
    exchange.jobs.put(assigned.attemptId(), sending);
    loop.after(oneWay, () -> sending.arriveAt(target));
  }

  private void complete(
      Decision.Assigned assigned,
      AttemptOutcome outcome,
      long latencyNanos,
      Optional<SimulatedTarget.Response> answer) {
    byAttempt.remove(assigned.attemptId());
    Completion completion =
        new Completion(
            assigned.attemptId(),
            assigned.target(),
            outcome,
            latencyNanos,
            answer.map(SimulatedTarget.Response::report));
    fleet.record().noteAttempt(assigned, outcome, latencyNanos);
    dispatcher.complete(loop.now(), completion).forEach(this::apply);
  }

  private void finish(Sending sending, SimulatedTarget.Response answer) {
    Exchange exchange = sending.exchange;
    exchange.jobs.remove(sending.assigned.attemptId());
    exchange.open--;
    complete(sending.assigned, answer.outcome(), loop.now() - sending.sentAt, Optional.of(answer));
    if (exchange.ended) {
      return;
    }
    if (isRefusal(answer.outcome()) && exchange.tried.size() < MAX_ATTEMPTS) {
      ask(exchange, QUEUE_LIMIT);
    } else if (answer.outcome() == AttemptOutcome.SUCCESS || exchange.open == 0) {
      exchange.ended = true;
      fleet.record().recordResponse(answer.outcome(), loop.now() - exchange.arrived);
      List.copyOf(exchange.jobs.values()).forEach(Sending::cancel);
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
   * @param afterNanos time without a response after which a request is hedged, 0 for never
   * @param share hedges allowed for each request, a fraction
   * @param burst maximum number of allowed hedges that can accumulate
   */
  public record Hedging(long afterNanos, double share, double burst) {
    /** Sends no hedges. */
    public static final Hedging NONE = new Hedging(0, 0, 0);
  }

  /** One caller's request. */
  private final class Exchange {
    private final ServiceName service;
    private final AccountName account;
    private final RouteName route;
    private final long arrived = loop.now();
    private final Set<TargetId> tried = new HashSet<>();
    private final Map<Long, Sending> jobs = new HashMap<>();
    private int open;
    private boolean ended;

    Exchange(ServiceName service, AccountName account, RouteName route) {
      this.service = service;
      this.account = account;
      this.route = route;
    }
  }

  /** One attempt, from its dispatch to the arrival of its response. */
  private final class Sending {
    private final Decision.Assigned assigned;
    private final Exchange exchange;
    private final long sentAt;
    private final long oneWayNanos;
    private SimulatedTarget.Job job;
    private boolean cancelled;

    Sending(Decision.Assigned assigned, Exchange exchange, long sentAt, long oneWayNanos) {
      this.assigned = assigned;
      this.exchange = exchange;
      this.sentAt = sentAt;
      this.oneWayNanos = oneWayNanos;
    }

    void arriveAt(SimulatedTarget target) {
      if (!cancelled) {
        job =
            target.serve(exchange.route, answer -> loop.after(oneWayNanos, () -> receive(answer)));
      }
    }

    private void receive(SimulatedTarget.Response answer) {
      if (!cancelled) {
        finish(this, answer);
      }
    }

    void cancel() {
      cancelled = true;
      exchange.jobs.remove(assigned.attemptId());
      loop.after(
          oneWayNanos,
          () -> {
            if (job != null) {
              job.cancel();
            }
          });
      complete(assigned, AttemptOutcome.CANCELLED, loop.now() - sentAt, Optional.empty());
    }
  }
}
