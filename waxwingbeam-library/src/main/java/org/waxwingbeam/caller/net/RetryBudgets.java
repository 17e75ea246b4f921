package org.waxwingbeam.caller.net;

import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.waxwingbeam.caller.RetryBudget;
import org.waxwingbeam.caller.SuccessRatioBudget;
import org.waxwingbeam.model.ServiceName;

/**
 * The retry budgets of an entry instance, by service.
 *
 * @since 0.1.0
 */
public final class RetryBudgets {
  private final ConcurrentHashMap<ServiceName, RetryBudget> budgets = new ConcurrentHashMap<>();
  private final Supplier<RetryBudget> factory;

  /** Creates budgets that allow retries as a share of each service's successes. */
  public RetryBudgets() {
    this(SuccessRatioBudget::new);
  }

  /**
   * Creates budgets by means of a factory.
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
