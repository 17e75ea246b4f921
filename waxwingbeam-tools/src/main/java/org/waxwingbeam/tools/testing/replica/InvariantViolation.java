package org.waxwingbeam.tools.testing.replica;

import java.util.function.Supplier;

/**
 * Thrown when a simulated run violates an invariant.
 *
 * @since 0.1.0
 */
public final class InvariantViolation extends RuntimeException {
  private static final long serialVersionUID = 1L;

  InvariantViolation(String message) {
    super(message);
  }

  /** Throws unless an invariant holds. */
  static void check(boolean holds, Supplier<String> message) {
    if (!holds) {
      throw new InvariantViolation(message.get());
    }
  }
}
