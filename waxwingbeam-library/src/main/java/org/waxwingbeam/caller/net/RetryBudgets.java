package org.waxwingbeam.caller.net;

import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.waxwingbeam.caller.RetryBudget;
import org.waxwingbeam.caller.SuccessRatioBudget;
import org.waxwingbeam.model.ServiceName;

/**
 * Holds the retry budget of each service at an entry instance.
 *
 * @since 0.1.0
 */
public final class RetryBudgets {
  private final ConcurrentHashMap<ServiceName, RetryBudget> budgets = new ConcurrentHashMap<>();
  private final Supplier<RetryBudget> factory;

  /** Creates budgets that are shares of each service's successes. */
  public RetryBudgets() {
    this(SuccessRatioBudget::new);
  }

  /**
   * Creates budgets of another kind.
   *
   * @param factory creates the budget of a service
   */
  public RetryBudgets(Supplier<RetryBudget> factory) {
    this.factory = factory;
  }

  RetryBudget of(ServiceName service) {
    RetryBudget known = budgets.get(service);
    return known != null ? known : budgets.computeIfAbsent(service, key -> factory.get());
  }
}
