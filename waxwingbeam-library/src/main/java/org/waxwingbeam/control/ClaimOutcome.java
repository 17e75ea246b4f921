package org.waxwingbeam.control;

import java.util.Optional;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.InstanceName;

/**
 * The outcome of a claimed request.
 *
 * @param account the client account
 * @param key the caller's idempotency key
 * @param entry the entry instance that holds the claim
 * @param attempt the attempt number of the claim
 * @param result whether the request ran
 * @param response the response, if it is to be recorded for replay
 * @since 0.1.0
 */
public record ClaimOutcome(
    AccountName account,
    String key,
    InstanceName entry,
    long attempt,
    Result result,
    Optional<RecordedResponse> response) {

  /** Whether a claimed request ran. */
  public enum Result {
    /** It ran: a complete response arrived. */
    RAN,
    /** It certainly did not run; the key may be claimed again. */
    DID_NOT_RUN,
    /** It may have run. */
    UNKNOWN
  }
}
