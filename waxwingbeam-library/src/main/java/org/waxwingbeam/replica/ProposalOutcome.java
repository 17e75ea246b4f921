package org.waxwingbeam.replica;

/**
 * Tells what became of a proposed command.
 *
 * @since 0.1.0
 */
public sealed interface ProposalOutcome {
  /**
   * The command is committed and was applied.
   *
   * @param result its result
   */
  record Applied(CommandResult result) implements ProposalOutcome {}

  /** The replica does not lead; the command was not put into the log. */
  record NotLeader() implements ProposalOutcome {}

  /**
   * The leader refuses the command; it was not put into the log.
   *
   * @param reason one sentence
   */
  record Refused(String reason) implements ProposalOutcome {}

  /** The command may or may not be committed later. */
  record Unknown() implements ProposalOutcome {}
}
