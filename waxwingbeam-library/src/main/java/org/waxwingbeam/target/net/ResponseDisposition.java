package org.waxwingbeam.target.net;

import org.waxwingbeam.caller.RetryReason;

/**
 * Tells what the head of a target's answer means.
 *
 * @since 0.1.0
 */
public sealed interface ResponseDisposition {
  /** The answer is meant for the caller. */
  record Deliverable() implements ResponseDisposition {}

  /** The request ran and failed. The answer is meant for the caller, but another may be better. */
  record Failed() implements ResponseDisposition {}

  /**
   * The target did not run the request.
   *
   * @param reason why
   */
  record Refused(RetryReason reason) implements ResponseDisposition {}

  /** The request may have run, and the answer must not reach the caller. */
  record Unusable() implements ResponseDisposition {}
}
