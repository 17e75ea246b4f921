package org.waxwingbeam.tools.testing.replica;

import java.util.function.Supplier;

/**
 * Reports that a run has broken a rule that must always hold.
 *
 * @since 0.1.0
 */
public final class InvariantViolation extends RuntimeException {
  private static final long serialVersionUID = 1L;

  InvariantViolation(String message) {
    super(message);
  }

  /** Throws unless a rule holds. */
  static void check(boolean holds, Supplier<String> message) {
    if (!holds) {
      throw new InvariantViolation(message.get());
    }
  }
}
