package org.waxwingbeam.daemon.routed;

import java.util.function.Consumer;
import org.waxwingbeam.control.ClaimClient;
import org.waxwingbeam.control.ClaimOutcome;
import org.waxwingbeam.control.ClaimRequest;
import org.waxwingbeam.control.ClaimResponse;

/** Reports every claim as unavailable; used where requests carry no idempotency keys. */
final class UnavailableClaimClient implements ClaimClient {
  @Override
  public void claim(ClaimRequest request, Consumer<ClaimResponse> receiver) {
    receiver.accept(new ClaimResponse.Unavailable());
  }

  @Override
  public void recordOutcome(ClaimOutcome outcome, Consumer<Boolean> receiver) {
    receiver.accept(false);
  }
}
