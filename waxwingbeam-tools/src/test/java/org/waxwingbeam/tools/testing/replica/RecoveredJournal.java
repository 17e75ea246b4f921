package org.waxwingbeam.tools.testing.replica;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.wire.replica.JournalBatch;
import org.waxwingbeam.wire.replica.LogEntry;
import org.waxwingbeam.wire.replica.LogSnapshot;

/**
 * The contents of a journal that was opened.
 *
 * @param snapshot the snapshot at which the log starts
 * @param term the newest term
 * @param votedFor the replica that got the vote in that term, or empty text
 * @param entries the entries after the snapshot, in order
 * @param committed index of the last entry that was known to be committed
 * @param cutBytes number of bytes of an interrupted write that were cut from the end of the file
 */
record RecoveredJournal(
    LogSnapshot snapshot,
    long term,
    String votedFor,
    List<LogEntry> entries,
    long committed,
    long cutBytes) {
  /** Opens the journal in a folder and reads all of it. */
  static RecoveredJournal open(SimulatedFolder folder) throws IOException {
    long before = folder.syncedSize();
    Journal journal = Journal.open(folder, () -> "replica-a");
    long cutBytes = before - folder.syncedSize();
    List<LogSnapshot> snapshots = new ArrayList<>();
    List<JournalBatch> batches = new ArrayList<>();
    journal.replay(snapshots::add, batches::add);
    List<LogEntry> entries = new ArrayList<>();
    batches.stream()
        .flatMap(batch -> batch.getEntriesList().stream())
        .forEach(
            entry -> {
              entries.removeIf(held -> held.getIndex() >= entry.getIndex());
              entries.add(entry);
            });
    return new RecoveredJournal(
        snapshots.getFirst(),
        batches.getLast().getTerm(),
        batches.getLast().getVotedFor(),
        List.copyOf(entries),
        Math.max(
            snapshots.getFirst().getIndex(),
            batches.stream().mapToLong(JournalBatch::getCommitted).max().orElse(0)),
        cutBytes);
  }
}
