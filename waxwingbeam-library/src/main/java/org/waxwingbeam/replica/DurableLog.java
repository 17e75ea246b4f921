package org.waxwingbeam.replica;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
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
  private String votedFor = "";
  private boolean termUnsynced;
  private long snapshotIndex;
  private Optional<LogSnapshot> unsyncedSnapshot = Optional.empty();

  /** Creates an empty log; {@link #recover} fills it. */
  DurableLog(Journal journal) {
    this.journal = journal;
  }

  /**
   * Reads the contents of the journal.
   *
   * @param snapshots called first, with the snapshot at which the log starts
   * @param committed called after each batch with the index of the last entry that was known to be
   *     committed; it may discard entries up to that index
   */
  void recover(Consumer<LogSnapshot> snapshots, LongConsumer committed) throws IOException {
    journal.replay(
        snapshot -> {
          reset(snapshot);
          snapshots.accept(snapshot);
        },
        batch -> {
          term = batch.getTerm();
          votedFor = batch.getVotedFor();
          batch.getEntriesList().forEach(log::replace);
          log.markSynced();
          committed.accept(Math.min(batch.getCommitted(), log.lastIndex()));
        });
  }

  private void reset(LogSnapshot snapshot) {
    log.reset(snapshot);
    snapshotIndex = snapshot.getIndex();
  }

  /** Returns the entries of the log that are held in memory. */
  ReplicaLog entries() {
    return log;
  }

  long term() {
    return term;
  }

  /** Returns the replica that got this replica's vote in the current term, or empty text. */
  String votedFor() {
    return votedFor;
  }

  /**
   * Sets the current term and this replica's vote in it.
   *
   * @param vote the replica that gets the vote, or empty text
   */
  void enterTerm(long newTerm, String vote) {
    term = newTerm;
    votedFor = vote;
    termUnsynced = true;
  }

  /** Appends a command as an entry of the current term and returns its index. */
  long append(Command command) {
    long index = log.lastIndex() + 1;
    log.append(LogEntry.newBuilder().setIndex(index).setTerm(term).setCommand(command).build());
    return index;
  }

  /** Returns whether anything has changed since the last sync. */
  boolean isUnsynced() {
    return termUnsynced || unsyncedSnapshot.isPresent() || log.syncedIndex() < log.lastIndex();
  }

  /**
   * Makes all changes since the last sync durable, in one write.
   *
   * @param commitIndex index of the last entry that is known to be committed
   * @throws IOException if they may not be durable; a later call tries again
   */
  void sync(long commitIndex) throws IOException {
    if (unsyncedSnapshot.isPresent()) {
      rewriteJournal(unsyncedSnapshot.get());
      unsyncedSnapshot = Optional.empty();
    } else if (isUnsynced()) {
      journal.append(batch(log.syncedIndex() + 1, commitIndex));
      termUnsynced = false;
      log.markSynced();
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

  /** Replaces the whole log by a snapshot from the leader; {@link #sync} makes it durable. */
  void installSnapshot(LogSnapshot snapshot) {
    reset(snapshot);
    unsyncedSnapshot = Optional.of(snapshot);
  }

  /**
   * Returns whether the log has grown enough since the last snapshot to be compacted: by a number
   * of entries or of bytes, and by at least the size of that snapshot.
   */
  boolean isSnapshotDue(long appliedIndex, Replica.Options options) {
    boolean grown =
        appliedIndex - snapshotIndex >= options.snapshotEntries()
            || journal.batchBytes() >= options.snapshotBytes();
    return grown && journal.batchBytes() >= journal.baseBytes();
  }

  /**
   * Compacts the journal to a snapshot of this replica's state and the entries after it, and
   * removes entries from memory that the snapshot contains.
   */
  void compact(LogSnapshot snapshot, Replica.Options options) throws IOException {
    rewriteJournal(snapshot);
    discardApplied(snapshot.getIndex(), options);
  }

  /** Removes applied entries from memory, but for the newest ones. */
  void discardApplied(long appliedIndex, Replica.Options options) {
    log.discardAllBut(appliedIndex, options.trailingEntries(), options.trailingBytes());
  }

  private void rewriteJournal(LogSnapshot snapshot) throws IOException {
    journal.rewrite(
        JournalBase.newBuilder()
            .setSnapshot(snapshot)
            .setBatch(batch(snapshot.getIndex() + 1, snapshot.getIndex()))
            .build());
    termUnsynced = false;
    log.markSynced();
    snapshotIndex = snapshot.getIndex();
  }

  /** Returns the size of the journal in bytes. */
  long bytes() {
    return journal.baseBytes() + journal.batchBytes();
  }
}
