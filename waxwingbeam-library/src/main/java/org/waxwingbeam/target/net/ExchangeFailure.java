package org.waxwingbeam.target.net;

/**
 * Reason why an exchange with a target ended without a complete response.
 *
 * @since 0.1.0
 */
public enum ExchangeFailure {
  /** The connection was closed before any byte of the request had been written to it. */
  NOT_WRITTEN,
  /** A reused connection was closed before any byte of the response had arrived. */
  STALE_CONNECTION,
  /** The connection was lost before the complete response had arrived. */
  CONNECTION_LOST,
  /** The response is malformed, or belongs to another request. */
  MALFORMED_ANSWER
}
