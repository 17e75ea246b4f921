package org.waxwingbeam.control;

import java.util.function.Consumer;

/**
 * Claims idempotency keys in the control log before non-idempotent requests with such a key are
 * sent to a target.
 *
 * @since 0.1.0
 */
public interface ClaimClient {
  /**
   * Claims a key.
   *
   * @param request the key, the claimed request and the time-outs
   * @param receiver called once, on any thread, with the result; with {@link
   *     ClaimResponse.Unavailable} if there is none within the request's time-out
   */
  void claim(ClaimRequest request, Consumer<ClaimResponse> receiver);

  /**
   * Records the outcome of a claimed request.
   *
   * @param outcome the claim and the outcome of its request
   * @param receiver called once, on any thread, with whether the control log has recorded the
   *     outcome
   */
  void recordOutcome(ClaimOutcome outcome, Consumer<Boolean> receiver);
}
