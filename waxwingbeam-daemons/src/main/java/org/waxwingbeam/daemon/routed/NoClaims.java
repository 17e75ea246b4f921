package org.waxwingbeam.daemon.routed;

import java.util.function.Consumer;
import org.waxwingbeam.control.ClaimAnswer;
import org.waxwingbeam.control.ClaimClient;
import org.waxwingbeam.control.ClaimRequest;
import org.waxwingbeam.control.ClaimSettlement;

/** Stands in for claims where requests carry no idempotency keys. */
final class NoClaims implements ClaimClient {
  @Override
  public void claim(ClaimRequest request, Consumer<ClaimAnswer> receiver) {
    receiver.accept(new ClaimAnswer.Unavailable());
  }

  @Override
  public void settle(ClaimSettlement settlement, Consumer<Boolean> receiver) {
    receiver.accept(false);
  }
}
