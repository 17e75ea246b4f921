package org.waxwingbeam.caller.net;

import java.util.Optional;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;
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
 * The services shared by all exchanges of an entry instance.
 *
 * @param dispatcher assigns targets to attempts
 * @param connections the pooled connections to targets
 * @param router finds the routes of requests by the applied configuration
 * @param protocols the protocols of callers and targets
 * @param admission decides whether new requests are accepted now
 * @param connectionLimit returns this entry instance's part of a target's connection limit
 * @param budgets the retry budgets by service
 * @param ids generates the ids of requests and attempts
 * @param instance the name of this entry instance
 * @param claims claims idempotency keys
 * @param poison detects requests that crash targets
 * @param requestLog logs finished requests
 * @param metrics counts refusals and retries
 * @param random randomizes the delays after which callers may retry
 * @param clock the entry instance's monotonic clock, in nanoseconds
 * @since 0.1.0
 */
public record ExchangeContext(
    SharedDispatcher dispatcher,
    TargetConnections connections,
    RequestRouter router,
    Protocols protocols,
    RequestAdmission admission,
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

  /** Decides whether an entry instance accepts new requests. */
  public interface RequestAdmission {
    /**
     * Returns the error with which a request is refused, or empty if it is accepted.
     *
     * @param maxDurationNanos the longest time that the request may take; 0 if it has no route
     * @param idempotent whether the request may run more than once
     */
    Optional<ErrorKind> refusal(long maxDurationNanos, boolean idempotent);
  }

  /**
   * The protocols of callers and targets.
   *
   * @param caller the protocol of callers
   * @param target the protocol of targets
   * @param responseBufferBytes responses up to this length are buffered until they are complete, so
   *     that a truncated one can be replaced by a retry; with 0, every response is streamed
   */
  public record Protocols(CallerAdapter caller, TargetAdapter target, int responseBufferBytes) {
    /** The native protocols, with all responses streamed. */
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
