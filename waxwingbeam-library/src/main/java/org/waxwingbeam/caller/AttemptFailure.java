package org.waxwingbeam.caller;

import org.waxwingbeam.model.ErrorKind;

/**
 * Tells why an attempt at a request brought no answer.
 *
 * @param reason the reason that is counted if the request is sent again
 * @param kind the answer that the caller gets if it is not
 * @param mayHaveRun whether any byte of the request has gone to a target that has not refused it
 * @since 0.1.0
 */
public record AttemptFailure(RetryReason reason, ErrorKind kind, boolean mayHaveRun) {
  /** Returns the failure that a reason stands for. */
  public static AttemptFailure of(RetryReason reason) {
    return switch (reason) {
      case REFUSED_COLD, REFUSED_DRAINING, REFUSED_OVERLOADED, REFUSED_WRONG_TARGET ->
          new AttemptFailure(reason, ErrorKind.TARGETS_REFUSED, false);
      case CONNECT_FAILED, NOT_WRITTEN ->
          new AttemptFailure(reason, ErrorKind.CONNECT_FAILED, false);
      case STALE_CONNECTION, CONNECTION_LOST, HEDGE ->
          new AttemptFailure(reason, ErrorKind.TARGET_LOST, true);
      case MALFORMED_ANSWER, TARGET_FAILED ->
          new AttemptFailure(reason, ErrorKind.MALFORMED_ANSWER, true);
    };
  }
}
