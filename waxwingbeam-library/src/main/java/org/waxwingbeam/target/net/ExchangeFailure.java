package org.waxwingbeam.target.net;

/**
 * Tells why an exchange with a target ended without a whole answer.
 *
 * @since 0.1.0
 */
public enum ExchangeFailure {
  /** The connection was closed before any byte of the request had been written to it. */
  NOT_WRITTEN,
  /** A connection that had served before ended before a byte of the answer had arrived. */
  STALE_CONNECTION,
  /** The connection ended before the whole answer had arrived. */
  CONNECTION_LOST,
  /** The answer is not well-formed, or belongs to another request. */
  MALFORMED_ANSWER
}
