package org.waxwingbeam.target;

/**
 * Outcome of an attempt at its target.
 *
 * @since 0.1.0
 */
public enum AttemptOutcome {
  /** A complete response with a status below 500 arrived. */
  SUCCESS,
  /** A complete response with a status of 500 or above arrived that is not a refusal. */
  FAILURE,
  /** The target refused the request without running it because it has no capacity. */
  REFUSED_OVERLOADED,
  /** The target refused the request without running it because it is in a cold start. */
  REFUSED_COLD,
  /** The target refused the request without running it because it is draining. */
  REFUSED_DRAINING,
  /** The address now belongs to another target, which did not run the request. */
  REFUSED_WRONG_TARGET,
  /** No connection could be opened. */
  CONNECT_FAILED,
  /** The connection was lost, or the response was malformed, after the request had been started. */
  CONNECTION_LOST,
  /** The deadline passed. */
  TIMED_OUT,
  /** The caller disconnected, or another attempt at the hedged request completed first. */
  CANCELLED
}
