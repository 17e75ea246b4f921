package org.waxwingbeam.replica;

import java.util.function.Consumer;
import org.waxwingbeam.wire.replica.Command;

/**
 * Applies each command at once, in memory, at a single replica. Nothing survives a restart.
 *
 * @since 0.1.0
 */
public final class LocalLog implements CommandLog {
  private final ReplicatedState state;
  private final Runnable applied;

  /**
   * Creates the log.
   *
   * @param state applies the commands
   * @param applied run after each command
   */
  public LocalLog(ReplicatedState state, Runnable applied) {
    this.state = state;
    this.applied = applied;
  }

  @Override
  public void propose(Command command, Consumer<ProposalOutcome> receiver) {
    CommandResult result = state.apply(command);
    receiver.accept(new ProposalOutcome.Applied(result));
    applied.run();
  }

  @Override
  public boolean holdsLease(long nowNanos) {
    return true;
  }
}
