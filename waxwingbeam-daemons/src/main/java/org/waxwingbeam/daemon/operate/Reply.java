package org.waxwingbeam.daemon.operate;

/**
 * What came of a question to the control replicas.
 *
 * @param <T> the message asked for
 */
sealed interface Reply<T> {
  /** A replica answered. */
  record Received<T>(T message) implements Reply<T> {}

  /** A replica refused the question itself, such as for a wrong credential. */
  record Rejected<T>(String reason) implements Reply<T> {}

  /** No replica can have acted on the question. */
  record Unreachable<T>(String reason) implements Reply<T> {}

  /** A replica may have acted on the question, but its answer was lost. */
  record Lost<T>(String reason) implements Reply<T> {}
}
