package org.waxwingbeam.target;

import java.util.HashMap;
import java.util.Map;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.DataCentreName;

/**
 * Remembers with which configuration each data centre last came back into service. Its targets
 * count as cold until they are found warm under that configuration or a later one.
 *
 * <p>Its lock may be taken within a service's lock; no other lock is taken within it.
 */
final class DataCentreReinstatements {
  private final Map<DataCentreName, Long> returns = new HashMap<>();
  private Configuration latest = Configuration.EMPTY;

  /** Notes that a configuration applies. */
  synchronized void observe(Configuration configuration) {
    if (configuration.number() <= latest.number()) {
      return;
    }
    latest.dataCentresOut().stream()
        .filter(each -> !configuration.dataCentresOut().contains(each))
        .forEach(each -> returns.put(each, configuration.number()));
    latest = configuration;
  }

  /** Returns the configuration with which a data centre last came back, 0 if it never did. */
  synchronized long returnedWith(DataCentreName dataCentre) {
    return returns.getOrDefault(dataCentre, 0L);
  }
}
