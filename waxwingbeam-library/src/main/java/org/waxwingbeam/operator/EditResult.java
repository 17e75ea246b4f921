package org.waxwingbeam.operator;

import java.util.List;
import org.waxwingbeam.model.Configuration;

/**
 * Tells whether a change was accepted.
 *
 * @since 0.1.0
 */
public sealed interface EditResult {
  /**
   * The change is valid.
   *
   * @param configuration the configuration after it, with the next number
   */
  record Accepted(Configuration configuration) implements EditResult {}

  /**
   * The change is not valid; nothing was changed.
   *
   * @param faults everything that is wrong with it, at least one
   */
  record Refused(List<Fault> faults) implements EditResult {
    /** Copies the list. */
    public Refused {
      faults = List.copyOf(faults);
    }

    /** Returns one sentence for each fault. */
    public List<String> reasons() {
      return faults.stream().map(Fault::message).toList();
    }
  }
}
