package org.waxwingbeam.replica;

import java.io.IOException;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.JournalBase;
import org.waxwingbeam.wire.replica.JournalBatch;
import org.waxwingbeam.wire.replica.LogEntry;
import org.waxwingbeam.wire.replica.LogSnapshot;

/** Holds a replica's term, vote and log, and makes them durable. */
final class DurableLog {
  private final Journal journal;
  private final ReplicaLog log = new ReplicaLog();
  private long term;
  private String votedFor;
  private boolean termUnsynced;
  private long snapshotIndex;

  /** Starts from an open journal, whose snapshot the caller has taken. */
  DurableLog(Journal journal, Journal.Recovered recovered) {
    this.journal = journal;
    term = recovered.term();
    votedFor = recovered.votedFor();
    reset(recovered.snapshot());
    recovered.entries().forEach(log::append);
    log.synced();
  }

  private void reset(LogSnapshot snapshot) {
    log.reset(snapshot);
    snapshotIndex = snapshot.getIndex();
  }

  /** Returns the entries that are held in memory. */
  ReplicaLog entries() {
    return log;
  }

  long term() {
    return term;
  }

  /** Returns the replica that got the vote in the present term, or empty text. */
  String votedFor() {
    return votedFor;
  }

  /**
   * Enters a term.
   *
   * @param vote the replica that gets the vote in it, or empty text
   */
  void enterTerm(long newTerm, String vote) {
    term = newTerm;
    votedFor = vote;
    termUnsynced = true;
  }

  /** Adds a command in the present term and returns its index. */
  long append(Command command) {
    long index = log.lastIndex() + 1;
    log.append(LogEntry.newBuilder().setIndex(index).setTerm(term).setCommand(command).build());
    return index;
  }

  /** Returns whether anything has changed since the last sync. */
  boolean isUnsynced() {
    return termUnsynced || log.syncedIndex() < log.lastIndex();
  }

  /**
   * Makes everything durable, in one sync.
   *
   * @param commitIndex index of the last entry that is known to be committed
   */
  void sync(long commitIndex) throws IOException {
    if (isUnsynced()) {
      journal.append(batch(log.syncedIndex() + 1, commitIndex));
      termUnsynced = false;
      log.synced();
    }
  }

  private JournalBatch batch(long fromIndex, long commitIndex) {
    return JournalBatch.newBuilder()
        .setTerm(term)
        .setVotedFor(votedFor)
        .addAllEntries(log.slice(fromIndex, Integer.MAX_VALUE, Integer.MAX_VALUE))
        .setCommitted(commitIndex)
        .build();
  }

  /** Replaces the whole log by a leader's snapshot. */
  void install(LogSnapshot snapshot) throws IOException {
    reset(snapshot);
    restart(snapshot);
  }

  /** Returns whether a snapshot of the state after an index would shorten the journal enough. */
  boolean isSnapshotDue(long appliedIndex, int leastEntries) {
    return appliedIndex - snapshotIndex >= leastEntries
        && journal.batchBytes() >= journal.baseBytes();
  }

  /**
   * Shortens the journal to a snapshot of this replica's own state and the entries after it.
   *
   * @param trailingEntries entries before it that are kept in memory
   */
  void compact(LogSnapshot snapshot, int trailingEntries) throws IOException {
    restart(snapshot);
    log.discard(snapshot.getIndex() - trailingEntries);
  }

  private void restart(LogSnapshot snapshot) throws IOException {
    journal.rewrite(
        JournalBase.newBuilder()
            .setSnapshot(snapshot)
            .setBatch(batch(snapshot.getIndex() + 1, snapshot.getIndex()))
            .build());
    termUnsynced = false;
    log.synced();
    snapshotIndex = snapshot.getIndex();
  }

  /** Returns the size of the journal in bytes. */
  long bytes() {
    return journal.baseBytes() + journal.batchBytes();
  }
}
