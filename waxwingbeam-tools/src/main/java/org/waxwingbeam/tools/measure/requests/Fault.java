package org.waxwingbeam.tools.measure.requests;

/** Lists the faults of one attempt at a request, by the stage at which they occur. */
enum Fault {
  /** No fault: the request runs and gets its response. */
  NONE,
  /** The connection is reset as soon as it is open. */
  RESET_ON_CONNECT,
  /** The connection is reset when a part of the request has arrived. */
  RESET_IN_REQUEST,
  /** The target refuses the request without running it. */
  REFUSED,
  /** The request runs, and the connection is reset without a response. */
  RESET_AFTER_RUN,
  /** The request runs, and the connection is closed without a response. */
  CLOSE_AFTER_RUN,
  /** The response has a content length and is truncated. */
  CUT_ANSWER,
  /** The chunked response is truncated. */
  CUT_CHUNKED_ANSWER,
  /** The response comes after the caller's deadline. */
  LATE_ANSWER,
  /** A second response follows the first. */
  TWO_ANSWERS,
  /** The response is longer than its content length. */
  LONG_ANSWER,
  /** The response belongs to another request. */
  FOREIGN_ANSWER,
  /** Provisional (1xx) responses precede the response. */
  PROVISIONAL_ANSWERS,
  /** The response ends only with its connection. */
  UNDELIMITED_ANSWER,
  /** The response has two different content lengths. */
  AMBIGUOUS_ANSWER,
  /** The response is not HTTP. */
  GARBAGE,
  /** The response is complete, but its connection is reset before it is reused. */
  RESET_AFTER_ANSWER
}
