package org.waxwingbeam.tools.measure.requests;

/** Lists what can go wrong with one attempt at a request, by its stage. */
enum Fault {
  /** Nothing: the request runs and is answered. */
  NONE,
  /** The connection is reset as soon as it is open. */
  RESET_ON_CONNECT,
  /** The connection is reset when a part of the request has arrived. */
  RESET_IN_REQUEST,
  /** The request is refused unrun. */
  REFUSED,
  /** The request runs and the connection is reset. */
  RESET_AFTER_RUN,
  /** The request runs and the connection is closed in order. */
  CLOSE_AFTER_RUN,
  /** The answer, which states its length, ends early. */
  CUT_ANSWER,
  /** The chunked answer ends early. */
  CUT_CHUNKED_ANSWER,
  /** The answer comes after the caller's deadline. */
  LATE_ANSWER,
  /** A second answer follows the first. */
  TWO_ANSWERS,
  /** The answer is longer than it states. */
  LONG_ANSWER,
  /** The answer belongs to another request. */
  FOREIGN_ANSWER,
  /** Provisional answers come before the answer. */
  PROVISIONAL_ANSWERS,
  /** The answer has no end but that of its connection. */
  UNDELIMITED_ANSWER,
  /** The answer's length is stated twice. */
  AMBIGUOUS_ANSWER,
  /** The answer is not HTTP. */
  GARBAGE,
  /** The answer is whole, but its connection is reset before it is used again. */
  RESET_AFTER_ANSWER
}
