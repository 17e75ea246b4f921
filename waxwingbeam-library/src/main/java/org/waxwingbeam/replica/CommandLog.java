package org.waxwingbeam.replica;

import java.util.function.Consumer;
import org.waxwingbeam.wire.replica.Command;

/**
 * Appends commands to the replicated log.
 *
 * @since 0.1.0
 */
public interface CommandLog {
  /**
   * Proposes a command for the log.
   *
   * @param command the command
   * @param receiver called once with the outcome
   */
  void propose(Command command, Consumer<ProposalOutcome> receiver);

  /**
   * Returns whether this replica leads and holds the leader lease, so that no other replica can
   * lead.
   *
   * @param nowNanos the current time on the replica's monotonic clock
   */
  boolean holdsLeaderLease(long nowNanos);
}
