package org.waxwingbeam.target;

/**
 * Tells how an attempt ended at its target.
 *
 * @since 0.1.0
 */
public enum AttemptOutcome {
  /** A whole answer arrived whose status is below 500. */
  SUCCESS,
  /** A whole answer arrived whose status is 500 or above and which is not a refusal. */
  FAILURE,
  /** The target refused the request unrun because it has no capacity. */
  REFUSED_OVERLOADED,
  /** The target refused the request unrun because it is in a cold start. */
  REFUSED_COLD,
  /** The target refused the request unrun because it is draining. */
  REFUSED_DRAINING,
  /** The address belongs to another target now; the request did not run. */
  REFUSED_WRONG_TARGET,
  /** No connection could be opened. */
  CONNECT_FAILED,
  /** The connection ended, or the answer was malformed, after the request was begun. */
  CONNECTION_LOST,
  /** The deadline passed. */
  TIMED_OUT,
  /** The caller left or a hedged twin answered first. */
  CANCELLED
}
