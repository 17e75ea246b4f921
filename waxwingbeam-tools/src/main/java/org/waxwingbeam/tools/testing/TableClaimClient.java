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
 * A claim client on a table in memory that several entry instances share. It can lose the answers
 * to claims and lose settlements, as a change of leader would.
 *
 * @since 0.1.0
 */
public final class TableClaimClient implements ClaimClient {
  private final ClaimTable table = new ClaimTable();
  private boolean losingResponses;
  private boolean losingSettlements;

  @Override
  public synchronized void claim(ClaimRequest request, Consumer<ClaimResponse> receiver) {
    ClaimResponse answer =
        ClaimCodec.decodeClaimReply(
            table.apply(ClaimCodec.encode(request), System.currentTimeMillis()));
    receiver.accept(losingResponses ? new ClaimResponse.Unavailable() : answer);
  }

  @Override
  public synchronized void recordOutcome(ClaimOutcome settlement, Consumer<Boolean> receiver) {
    if (losingSettlements) {
      receiver.accept(false);
      return;
    }
    receiver.accept(
        ClaimCodec.decodeOutcomeReply(
            table.apply(ClaimCodec.encode(settlement), System.currentTimeMillis())));
  }

  /** Says whether the answers to claims get lost after they were decided. */
  public synchronized void loseResponses(boolean lose) {
    losingResponses = lose;
  }

  /** Says whether settlements get lost. */
  public synchronized void loseSettlements(boolean lose) {
    losingSettlements = lose;
  }

  /** Ends the lease of an entry instance. */
  public synchronized void entryGone(String entry) {
    table.apply(ClaimCodec.encodeEntryGone(new InstanceName(entry)), System.currentTimeMillis());
  }
}
