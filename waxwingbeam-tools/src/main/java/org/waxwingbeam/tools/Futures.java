package org.waxwingbeam.tools;

import java.util.Objects;
import java.util.concurrent.Future;

/**
 * Handles the results of asynchronous calls.
 *
 * @since 0.1.0
 */
public final class Futures {
  private Futures() {}

  /** Says that nobody waits for the result; a failure shows as the end of the connection. */
  public static void ignore(Future<?> result) {
    Objects.requireNonNull(result);
  }
}
