package org.waxwingbeam.caller.net;

import java.util.Optional;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.waxwingbeam.caller.PoisonList;
import org.waxwingbeam.caller.RequestRouter;
import org.waxwingbeam.control.ClaimClient;
import org.waxwingbeam.metrics.EntryMetrics;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.target.net.NativeTargetDialect;
import org.waxwingbeam.target.net.TargetConnections;
import org.waxwingbeam.target.net.TargetDialect;

/**
 * Holds what every exchange of an entry instance uses.
 *
 * @param gate gives attempts their targets
 * @param connections the connections to targets
 * @param router finds the routes of the configuration that is applied
 * @param protocols how callers and targets are spoken with
 * @param admission returns why the entry instance takes no new request now, or empty
 * @param connectionShare the part of a target's connection limit that this entry instance may use
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
    DispatchGate gate,
    TargetConnections connections,
    RequestRouter router,
    Protocols protocols,
    Supplier<Optional<ErrorKind>> admission,
    IntUnaryOperator connectionShare,
    RetryBudgets budgets,
    RequestIds ids,
    InstanceName instance,
    ClaimClient claims,
    PoisonList poison,
    RequestLog requestLog,
    EntryMetrics metrics,
    RandomGenerator random,
    LongSupplier clock) {

  /**
   * Says how callers and targets are spoken with.
   *
   * @param caller the protocol of callers
   * @param target the protocol of targets
   * @param heldAnswerBytes answers up to this length are passed on only once they are whole, so
   *     that a broken one can be replaced; 0 passes every answer on as it arrives
   */
  public record Protocols(CallerDialect caller, TargetDialect target, int heldAnswerBytes) {
    /** The system's own protocols, with answers passed on as they arrive. */
    public static final Protocols NATIVE =
        new Protocols(new NativeCallerDialect(), new NativeTargetDialect(), 0);
  }

  CallerDialect callerDialect() {
    return protocols.caller();
  }

  TargetDialect targetDialect() {
    return protocols.target();
  }
}
