package org.waxwingbeam.control;

import java.util.function.Consumer;

/**
 * Claims idempotency keys in the control log before a keyed non-idempotent request is sent out.
 *
 * @since 0.1.0
 */
public interface ClaimClient {
  /**
   * Claims a key.
   *
   * @param request the key and what it stands for
   * @param receiver called once, on any thread, with the answer; {@link ClaimResponse.Unavailable}
   *     at the latest when the request's time is up
   */
  void claim(ClaimRequest request, Consumer<ClaimResponse> receiver);

  /**
   * Records the outcome of a claimed request.
   *
   * @param settlement the claim and its outcome
   * @param receiver called once, on any thread, with whether the control log holds the outcome
   */
  void recordOutcome(ClaimOutcome settlement, Consumer<Boolean> receiver);
}
