package org.waxwingbeam.operator;

import java.util.List;
import org.waxwingbeam.model.Configuration;

/**
 * The result of applying a change to a configuration.
 *
 * @since 0.1.0
 */
public sealed interface EditResult {
  /**
   * The change is valid and was applied.
   *
   * @param configuration the configuration after the change, with the next number
   */
  record Accepted(Configuration configuration) implements EditResult {}

  /**
   * The change is not valid; nothing was changed.
   *
   * @param faults all faults of the change, at least one
   */
  record Refused(List<Fault> faults) implements EditResult {
    /** Copies the list. */
    public Refused {
      faults = List.copyOf(faults);
    }

    /** Returns the message of each fault. */
    public List<String> reasons() {
      return faults.stream().map(Fault::message).toList();
    }
  }
}
