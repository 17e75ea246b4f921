package org.waxwingbeam.target.net;

import org.waxwingbeam.caller.RetryReason;

/**
 * Classification of a target's response by its head.
 *
 * @since 0.1.0
 */
public sealed interface ResponseDisposition {
  /** The response is meant for the caller. */
  record Deliverable() implements ResponseDisposition {}

  /**
   * The request ran and failed. The response is meant for the caller unless another attempt yields
   * a better one.
   */
  record Failed() implements ResponseDisposition {}

  /**
   * The target did not run the request.
   *
   * @param reason the reason of the refusal
   */
  record Refused(RetryReason reason) implements ResponseDisposition {}

  /** The request may have run, and the response must not reach the caller. */
  record Unusable() implements ResponseDisposition {}
}
