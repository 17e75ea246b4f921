package org.waxwingbeam.control;

import java.util.Optional;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.InstanceName;

/**
 * Reports how a claimed request ended.
 *
 * @param account the client account
 * @param key the caller's idempotency key
 * @param entry the entry instance that holds the claim
 * @param attempt the claim's attempt number
 * @param result how the request ended
 * @param response the answer, if it is to be kept for replay
 * @since 0.1.0
 */
public record ClaimOutcome(
    AccountName account,
    String key,
    InstanceName entry,
    long attempt,
    Result result,
    Optional<RecordedResponse> response) {

  /** Tells how a claimed request ended. */
  public enum Result {
    /** A whole answer arrived. */
    RAN,
    /** It surely did not run; the key may be claimed again. */
    DID_NOT_RUN,
    /** It may have run. */
    UNKNOWN
  }
}
