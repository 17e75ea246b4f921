package org.waxwingbeam.replica;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.waxwingbeam.wire.replica.LogEntry;

/** Tracks the commands that a leader has put into the log and whose outcome somebody awaits. */
final class PendingProposals {
  private static final int MAX_PENDING = 10_000;

  private final TreeMap<Long, Proposal> pending = new TreeMap<>();

  private record Proposal(long term, Consumer<ProposalOutcome> receiver) {}

  /** Returns why no further command may be proposed now, if so. */
  Optional<String> refusal() {
    return pending.size() < MAX_PENDING
        ? Optional.empty()
        : Optional.of("%d commands wait for the log: expected fewer".formatted(pending.size()));
  }

  void add(long index, long term, Consumer<ProposalOutcome> receiver) {
    pending.put(index, new Proposal(term, receiver));
  }

  /** Tells the outcome of the command that was proposed for an index, if any was. */
  void applied(LogEntry entry, CommandResult result) {
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

  /** Tells, for every command, that its outcome is unknown. */
  void abandon() {
    List<Proposal> lost = List.copyOf(pending.values());
    pending.clear();
    lost.forEach(each -> each.receiver().accept(new ProposalOutcome.Unknown()));
  }
}
