package org.waxwingbeam.caller.net;

import java.util.concurrent.ConcurrentHashMap;
import org.waxwingbeam.caller.RetryBudget;
import org.waxwingbeam.model.ServiceName;

/**
 * Holds the retry budget of each service at an entry instance.
 *
 * @since 0.1.0
 */
public final class RetryBudgets {
  private final ConcurrentHashMap<ServiceName, RetryBudget> budgets = new ConcurrentHashMap<>();

  RetryBudget of(ServiceName service) {
    RetryBudget known = budgets.get(service);
    return known != null ? known : budgets.computeIfAbsent(service, key -> new RetryBudget());
  }
}
