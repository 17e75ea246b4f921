package org.waxwingbeam.tools.testing.replica;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.replica.DamagedJournalException;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.wire.replica.JournalBase;
import org.waxwingbeam.wire.replica.JournalBatch;
import org.waxwingbeam.wire.replica.LogEntry;
import org.waxwingbeam.wire.replica.LogSnapshot;

/** Opens journals after interrupted writes, corruption and restarts. */
class JournalTest {
  private static final String FILE = "journal-000000000001";

  private final SimulatedFolder folder = new SimulatedFolder(SimulatedFolder.DiskFaults.NONE);

  @Test
  void keepsTermVoteAndEntries() throws IOException {
    Journal journal = open();
    journal.append(batch(1));
    journal.append(batch(2));

    RecoveredJournal recovered = RecoveredJournal.open(folder);

    assertThat(recovered)
        .isEqualTo(
            new RecoveredJournal(
                LogSnapshot.getDefaultInstance(),
                2,
                "replica-b",
                List.of(entry(1), entry(2)),
                0,
                0));
  }

  @Test
  void keepsCommitIndex() throws IOException {
    Journal journal = open();
    journal.append(batch(1));
    journal.append(batch(2).toBuilder().setCommitted(1).build());

    assertThat(RecoveredJournal.open(folder).committed()).isEqualTo(1);
  }

  @Test
  void keepsItsId() throws IOException {
    open();

    assertThat(Journal.open(folder, () -> "another-id").replicaId()).isEqualTo("replica-a");
  }

  @Test
  void entryReplacesThoseOfSameAndHigherIndex() throws IOException {
    Journal journal = open();
    journal.append(batch(1));
    journal.append(batch(2));
    LogEntry other = entry(1).toBuilder().setTerm(9).build();
    journal.append(JournalBatch.newBuilder().setTerm(9).addEntries(other).build());

    assertThat(RecoveredJournal.open(folder).entries()).containsExactly(other);
  }

  @Test
  void incompleteUnsyncedRecordIsDiscarded() throws IOException {
    for (int seed = 1; seed <= 200; seed++) {
      SimulatedFolder each = new SimulatedFolder(SimulatedFolder.DiskFaults.NONE);
      Journal journal = Journal.open(each, () -> "replica-a");
      journal.append(batch(1));
      each.openForAppend(FILE).write(new byte[] {0x57, 0x42, 0x4A, 0x31, 0, 0, 0, 5, 1, 2, 3});
      each.crash(new SplittableRandom(seed));

      assertThat(RecoveredJournal.open(each).entries()).containsExactly(entry(1));
    }
  }

  @Test
  void corruptionBeforeIntactRecordsIsRefusedWithFileAndOffset() throws IOException {
    Journal journal = open();
    long offset = folder.syncedSize();
    journal.append(batch(1));
    journal.append(batch(2));
    folder.corruptByte(FILE, (int) offset + 14);

    DamagedJournalException damaged = assertThrows(DamagedJournalException.class, this::open);

    assertThat(damaged.file()).isEqualTo(FILE);
    assertThat(damaged.offset()).isEqualTo(offset);
  }

  @Test
  void corruptedHeaderIsRefused() throws IOException {
    open();
    folder.corruptByte(FILE, 3);

    assertThrows(DamagedJournalException.class, this::open);
  }

  @Test
  void leavesOtherFilesAlone() throws IOException {
    folder.openForAppend("token").write(new byte[] {1});
    open();
    Journal journal = open();
    journal.rewrite(JournalBase.getDefaultInstance());

    assertThat(folder.list()).containsExactly("journal-000000000002", "token");
  }

  @Test
  void batchesAfterFailedOperationsAreKept() throws IOException {
    for (int failAt = 0; failAt < 60; failAt++) {
      checkFailureFrom(failAt, 1);
      checkFailureFrom(failAt, 3);
    }
  }

  /** Lets some operations in a row fail, and repeats each batch until it is stored. */
  private static void checkFailureFrom(int failAt, int failures) throws IOException {
    int[] operations = {0};
    boolean[] failing = {true};
    SimulatedFolder each =
        new SimulatedFolder(
            () -> {
              int operation = operations[0]++;
              if (failing[0] && operation >= failAt && operation < failAt + failures) {
                throw new IOException("no space left");
              }
            });
    failing[0] = false;
    Journal journal = Journal.open(each, () -> "replica-a");
    failing[0] = true;
    operations[0] = 0;
    for (int index = 1; index <= 6; index++) {
      JournalBatch batch = batch(index);
      repeat(() -> journal.append(batch));
      if (index % 3 == 0) {
        JournalBase base = base(index);
        repeat(() -> journal.rewrite(base));
      }
    }
    failing[0] = false;
    // All that was reported as stored is durable.
    each.crash(new SplittableRandom(failAt));
    RecoveredJournal recovered = RecoveredJournal.open(each);
    assertThat(recovered.snapshot().getIndex()).isEqualTo(6);
    assertThat(recovered.term()).isEqualTo(6);
  }

  private interface Write {
    void run() throws IOException;
  }

  private static void repeat(Write write) {
    boolean stored = false;
    while (!stored) {
      try {
        write.run();
        stored = true;
      } catch (IOException full) {
        assertThat(full).hasMessageThat().isEqualTo("no space left");
      }
    }
  }

  @Test
  void crashAtAnyOperationKeepsSyncedBatches() throws IOException {
    for (int crashAt = 0; crashAt < 40; crashAt++) {
      checkCrashAt(crashAt);
    }
  }

  /**
   * Appends batches until the process crashes at an operation, then checks the reopened journal.
   */
  private static void checkCrashAt(int crashAt) throws IOException {
    int[] operations = {-1};
    SimulatedFolder each =
        new SimulatedFolder(
            () -> {
              operations[0]++;
              if (operations[0] == crashAt) {
                throw new SimulatedFolder.SimulatedCrashException();
              }
            });
    long syncedIndex = 0;
    try {
      Journal journal = Journal.open(each, () -> "replica-a");
      for (int index = 1; index <= 6; index++) {
        journal.append(batch(index));
        syncedIndex = index;
        if (index % 3 == 0) {
          journal.rewrite(base(index));
        }
      }
    } catch (SimulatedFolder.SimulatedCrashException crash) {
      each.crash(new SplittableRandom(crashAt));
    }
    operations[0] = crashAt;
    RecoveredJournal recovered = RecoveredJournal.open(each);
    assertThat(recovered.snapshot().getIndex() + recovered.entries().size()).isAtLeast(syncedIndex);
    assertThat(recovered.term()).isAtLeast(syncedIndex);
  }

  private static JournalBase base(long index) {
    return JournalBase.newBuilder()
        .setSnapshot(LogSnapshot.newBuilder().setIndex(index).setTerm(index))
        .setBatch(JournalBatch.newBuilder().setTerm(index).setVotedFor("replica-b"))
        .build();
  }

  private Journal open() throws IOException {
    return Journal.open(folder, () -> "replica-a");
  }

  private static JournalBatch batch(long index) {
    return JournalBatch.newBuilder()
        .setTerm(index)
        .setVotedFor("replica-b")
        .addEntries(entry(index))
        .build();
  }

  private static LogEntry entry(long index) {
    return LogEntry.newBuilder().setIndex(index).setTerm(index).build();
  }
}
