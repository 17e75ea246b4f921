package org.waxwingbeam.caller;

import java.util.Locale;

/**
 * Lists every reason for which a request is sent to a target again.
 *
 * @since 0.1.0
 */
public enum RetryReason {
  /** The target refused it unrun because it is in a cold start. */
  REFUSED_COLD,
  /** The target refused it unrun because it is draining. */
  REFUSED_DRAINING,
  /** The target refused it unrun because it has no capacity. */
  REFUSED_OVERLOADED,
  /** The address belongs to another target now; the request did not run. */
  REFUSED_WRONG_TARGET,
  /** No connection to the target could be opened. */
  CONNECT_FAILED,
  /** The connection was closed before any byte of the request had been written. */
  NOT_WRITTEN,
  /** A connection that had been kept open ended before the answer began. */
  STALE_CONNECTION,
  /** The connection ended before the answer began. */
  CONNECTION_LOST,
  /** The target's answer was malformed. */
  MALFORMED_ANSWER,
  /** The target ran the request and answered with a failure. */
  TARGET_FAILED,
  /** The first target has not answered within the route's hedging delay. */
  HEDGE;

  /** Returns the name shown in metrics, such as {@code refused-cold}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
