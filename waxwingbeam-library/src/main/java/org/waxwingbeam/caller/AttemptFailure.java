package org.waxwingbeam.caller;

import org.waxwingbeam.model.ErrorKind;

/**
 * The reason why an attempt failed, and what it means for a retry and for the caller.
 *
 * @param reason the reason under which a retry is counted
 * @param kind the error that the caller receives if the request is not retried
 * @param mayHaveRun whether a target that did not refuse the request may have received a part of it
 * @since 0.1.0
 */
public record AttemptFailure(RetryReason reason, ErrorKind kind, boolean mayHaveRun) {
  /** Returns the failure with the given reason. */
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
