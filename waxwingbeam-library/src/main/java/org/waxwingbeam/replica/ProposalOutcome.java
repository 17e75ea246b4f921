package org.waxwingbeam.replica;

/**
 * The outcome of a proposed command.
 *
 * @since 0.1.0
 */
public sealed interface ProposalOutcome {
  /**
   * The command is committed and was applied.
   *
   * @param result the result of applying it
   */
  record Applied(CommandResult result) implements ProposalOutcome {}

  /** The replica does not lead; the command was not appended to the log. */
  record NotLeader() implements ProposalOutcome {}

  /**
   * The leader refused the command; it was not appended to the log.
   *
   * @param reason one sentence for the sender of the command
   */
  record Refused(String reason) implements ProposalOutcome {}

  /** The outcome is unknown; the command may or may not be committed later. */
  record Unknown() implements ProposalOutcome {}
}
