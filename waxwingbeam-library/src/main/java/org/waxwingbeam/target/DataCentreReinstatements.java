package org.waxwingbeam.target;

import java.util.HashMap;
import java.util.Map;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.DataCentreName;

/**
 * Records the number of the configuration that last put each data centre back into service. The
 * data centre's targets count as cold until they are found warm under that configuration or a later
 * one.
 *
 * <p>Its lock may be acquired while a service's lock is held; no other lock is acquired while it is
 * held.
 */
final class DataCentreReinstatements {
  private final Map<DataCentreName, Long> reinstatements = new HashMap<>();
  private Configuration latest = Configuration.EMPTY;

  /**
   * Compares the configuration that applies now with the previous one and records the data centres
   * that it puts back into service.
   */
  synchronized void update(Configuration configuration) {
    if (configuration.number() <= latest.number()) {
      return;
    }
    latest.dataCentresOut().stream()
        .filter(each -> !configuration.dataCentresOut().contains(each))
        .forEach(each -> reinstatements.put(each, configuration.number()));
    latest = configuration;
  }

  /**
   * Returns the number of the configuration that last put a data centre back into service, or 0 if
   * there is none.
   */
  synchronized long reinstatedBy(DataCentreName dataCentre) {
    return reinstatements.getOrDefault(dataCentre, 0L);
  }
}
