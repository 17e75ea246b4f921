package org.waxwingbeam.caller;

import java.util.Locale;

/**
 * The reasons for which a request is retried or hedged.
 *
 * @since 0.1.0
 */
public enum RetryReason {
  /** The target refused the request without running it because it is cold. */
  REFUSED_COLD,
  /** The target refused the request without running it because it is draining. */
  REFUSED_DRAINING,
  /** The target refused the request without running it because it has no capacity. */
  REFUSED_OVERLOADED,
  /** The address now belongs to another target, which did not run the request. */
  REFUSED_WRONG_TARGET,
  /** No connection to the target could be opened. */
  CONNECT_FAILED,
  /** The connection was closed before any byte of the request had been written. */
  NOT_WRITTEN,
  /** A reused connection was lost before the response began. */
  STALE_CONNECTION,
  /** The connection was lost before the complete response had arrived. */
  CONNECTION_LOST,
  /** The target's response was malformed. */
  MALFORMED_ANSWER,
  /** The target ran the request and its response reports a failure. */
  TARGET_FAILED,
  /** The first target has not responded within the hedging delay of the route. */
  HEDGE;

  /** Returns the name shown in metrics, such as {@code refused-cold}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
