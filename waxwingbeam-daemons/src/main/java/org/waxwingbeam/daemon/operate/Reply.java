package org.waxwingbeam.daemon.operate;

/**
 * Outcome of a request to the control replicas.
 *
 * @param <T> the type of the requested message
 */
sealed interface Reply<T> {
  /** A replica responded with the message. */
  record Received<T>(T message) implements Reply<T> {}

  /** A replica rejected the request itself, such as for a wrong credential. */
  record Rejected<T>(String reason) implements Reply<T> {}

  /** No replica can have carried out the request. */
  record Unreachable<T>(String reason) implements Reply<T> {}

  /** A replica may have carried out the request, but its response was lost. */
  record Lost<T>(String reason) implements Reply<T> {}
}
