package org.waxwingbeam.replica;

import java.util.function.Consumer;
import org.waxwingbeam.wire.replica.Command;

/**
 * Puts commands into the replicated log.
 *
 * @since 0.1.0
 */
public interface CommandLog {
  /**
   * Proposes a command.
   *
   * @param command the command
   * @param receiver called once with what became of it
   */
  void propose(Command command, Consumer<ProposalOutcome> receiver);

  /**
   * Returns whether this replica leads and no other one can, as far as leases tell.
   *
   * @param nowNanos the present time on the replica's monotonic clock
   */
  boolean holdsLeaderLease(long nowNanos);
}
