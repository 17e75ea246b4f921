package org.waxwingbeam.tools.testing;

import java.util.function.Consumer;
import org.waxwingbeam.control.ClaimClient;
import org.waxwingbeam.control.ClaimCodec;
import org.waxwingbeam.control.ClaimOutcome;
import org.waxwingbeam.control.ClaimRequest;
import org.waxwingbeam.control.ClaimResponse;
import org.waxwingbeam.control.ClaimTable;
import org.waxwingbeam.model.InstanceName;

/**
 * A claim client on an in-memory table that several entry instances share. As at a change of
 * leader, it can lose the responses to claims, and whole outcome messages.
 *
 * @since 0.1.0
 */
public final class TableClaimClient implements ClaimClient {
  private final ClaimTable table = new ClaimTable();
  private boolean losingResponses;
  private boolean losingOutcomes;

  @Override
  public synchronized void claim(ClaimRequest request, Consumer<ClaimResponse> receiver) {
    ClaimResponse response =
        ClaimCodec.decodeClaimReply(
            table.apply(ClaimCodec.encode(request), System.currentTimeMillis()));
    receiver.accept(losingResponses ? new ClaimResponse.Unavailable() : response);
  }

  @Override
  public synchronized void recordOutcome(ClaimOutcome outcome, Consumer<Boolean> receiver) {
    if (losingOutcomes) {
      receiver.accept(false);
      return;
    }
    receiver.accept(
        ClaimCodec.decodeOutcomeReply(
            table.apply(ClaimCodec.encode(outcome), System.currentTimeMillis())));
  }

  /** Sets whether responses to claims are lost after the claims were applied. */
  public synchronized void loseResponses(boolean lose) {
    losingResponses = lose;
  }

  /** Sets whether outcomes are lost before they are applied. */
  public synchronized void loseOutcomes(boolean lose) {
    losingOutcomes = lose;
  }

  /** Applies the end of an entry instance's lease. */
  public synchronized void endEntryLease(String entry) {
    table.apply(ClaimCodec.encodeEntryGone(new InstanceName(entry)), System.currentTimeMillis());
  }
}
