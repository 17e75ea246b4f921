package org.waxwingbeam.caller.net;

import java.util.Optional;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.waxwingbeam.caller.PoisonList;
import org.waxwingbeam.control.ClaimClient;
import org.waxwingbeam.metrics.EntryMetrics;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.target.net.TargetConnections;

/**
 * Holds what every exchange of an entry instance uses.
 *
 * @param gate gives attempts their targets
 * @param connections the connections to targets
 * @param classifiers finds the routes of the configuration that is applied
 * @param admission returns why the entry instance takes no new request now, or empty
 * @param connectionShare the part of a target's connection limit that this entry instance may use
 * @param budgets the retry budgets of all services
 * @param ids numbers requests and attempts
 * @param instance the name of this entry instance
 * @param claims claims idempotency keys
 * @param poison finds requests that crash targets
 * @param metrics counts refusals and retries
 * @param clock the entry's monotonic clock, in nanoseconds
 * @since 0.1.0
 */
public record ExchangeContext(
    DispatchGate gate,
    TargetConnections connections,
    ClassifierCache classifiers,
    Supplier<Optional<ErrorKind>> admission,
    IntUnaryOperator connectionShare,
    RetryBudgets budgets,
    RequestIds ids,
    InstanceName instance,
    ClaimClient claims,
    PoisonList poison,
    EntryMetrics metrics,
    LongSupplier clock) {}
