package org.waxwingbeam.replica;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.waxwingbeam.wire.replica.LogEntry;

/**
 * Tracks the commands that this leader has appended to the log and whose outcome is still pending.
 */
final class PendingProposals {
  private static final int MAX_PENDING = 10_000;

  private final TreeMap<Long, Proposal> pending = new TreeMap<>();

  private record Proposal(long term, Consumer<ProposalOutcome> receiver) {}

  /** Returns why no further command may be proposed now, or empty if one may. */
  Optional<String> refusal() {
    return pending.size() < MAX_PENDING
        ? Optional.empty()
        : Optional.of("%d commands wait for the log: expected fewer".formatted(pending.size()));
  }

  void add(long index, long term, Consumer<ProposalOutcome> receiver) {
    pending.put(index, new Proposal(term, receiver));
  }

  /**
   * Reports the outcome of the command that was proposed for the index of an applied entry, if any.
   */
  void complete(LogEntry entry, CommandResult result) {
    Proposal proposal = pending.remove(entry.getIndex());
    if (proposal != null) {
      proposal.receiver().accept(outcome(proposal, entry, result));
    }
  }

  private static ProposalOutcome outcome(Proposal proposal, LogEntry entry, CommandResult result) {
    return proposal.term() == entry.getTerm()
        ? new ProposalOutcome.Applied(result)
        : new ProposalOutcome.Unknown();
  }

  /** Reports an unknown outcome for every pending command. */
  void abandon() {
    List<Proposal> lost = List.copyOf(pending.values());
    pending.clear();
    lost.forEach(each -> each.receiver().accept(new ProposalOutcome.Unknown()));
  }
}
