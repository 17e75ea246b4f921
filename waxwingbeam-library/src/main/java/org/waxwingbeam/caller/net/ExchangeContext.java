package org.waxwingbeam.caller.net;

import java.util.Optional;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.waxwingbeam.caller.PoisonRequestDetector;
import org.waxwingbeam.caller.RequestRouter;
import org.waxwingbeam.control.ClaimClient;
import org.waxwingbeam.metrics.EntryMetrics;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.target.net.NativeTargetAdapter;
import org.waxwingbeam.target.net.TargetAdapter;
import org.waxwingbeam.target.net.TargetConnections;

/**
 * Holds what every exchange of an entry instance uses.
 *
 * @param dispatcher gives attempts their targets
 * @param connections the connections to targets
 * @param router finds the routes of the configuration that is applied
 * @param protocols how callers and targets are spoken with
 * @param refusalReason returns why the entry instance takes no new request now, or empty
 * @param connectionLimit the part of a target's connection limit that this entry instance may use
 * @param budgets the retry budgets of all services
 * @param ids numbers requests and attempts
 * @param instance the name of this entry instance
 * @param claims claims idempotency keys
 * @param poison finds requests that crash targets
 * @param requestLog writes what became of requests
 * @param metrics counts refusals and retries
 * @param random spreads callers that are told to come back
 * @param clock the entry's monotonic clock, in nanoseconds
 * @since 0.1.0
 */
public record ExchangeContext(
    SharedDispatcher dispatcher,
    TargetConnections connections,
    RequestRouter router,
    Protocols protocols,
    Supplier<Optional<ErrorKind>> refusalReason,
    IntUnaryOperator connectionLimit,
    RetryBudgets budgets,
    RequestIds ids,
    InstanceName instance,
    ClaimClient claims,
    PoisonRequestDetector poison,
    RequestLog requestLog,
    EntryMetrics metrics,
    RandomGenerator random,
    LongSupplier clock) {

  /**
   * Says how callers and targets are spoken with.
   *
   * @param caller the protocol of callers
   * @param target the protocol of targets
   * @param responseBufferBytes answers up to this length are passed on only once they are whole, so
   *     that a broken one can be replaced; 0 passes every answer on as it arrives
   */
  public record Protocols(CallerAdapter caller, TargetAdapter target, int responseBufferBytes) {
    /** The system's own protocols, with answers passed on as they arrive. */
    public static final Protocols NATIVE =
        new Protocols(new NativeCallerAdapter(), new NativeTargetAdapter(), 0);
  }

  CallerAdapter callerAdapter() {
    return protocols.caller();
  }

  TargetAdapter targetAdapter() {
    return protocols.target();
  }
}
