package org.waxwingbeam.tools;

import java.util.Objects;
import java.util.concurrent.Future;

/**
 * Marks results of asynchronous calls that are deliberately ignored.
 *
 * @since 0.1.0
 */
public final class Futures {
  private Futures() {}

  /**
   * Ignores the result of a channel operation or timer. A failed channel operation is noticed when
   * the connection closes.
   */
  public static void ignore(Future<?> result) {
    Objects.requireNonNull(result);
  }
}
