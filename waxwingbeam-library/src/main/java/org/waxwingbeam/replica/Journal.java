package org.waxwingbeam.replica;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.wire.replica.JournalBase;
import org.waxwingbeam.wire.replica.JournalBatch;
import org.waxwingbeam.wire.replica.JournalHeader;
import org.waxwingbeam.wire.replica.JournalRecord;
import org.waxwingbeam.wire.replica.LogSnapshot;

/**
 * Stores a replica's term, vote and log on disk. There is one file at a time: a header, a base with
 * a snapshot, and one batch of changes for each sync.
 *
 * <pre>{@code
 * Journal journal = Journal.open(folder, () -> newReplicaId);
 * journal.append(batch); // durable when it returns
 * }</pre>
 *
 * @since 0.1.0
 */
public final class Journal implements AutoCloseable {
  private static final EventLog LOG = new EventLog(Journal.class);
  private static final int FORMAT_VERSION = 1;
  private static final String PREFIX = "journal-";
  private static final String TEMPORARY = "journal.new";

  private final ReplicaFolder folder;
  private final String replicaId;
  private long generation;
  private ReplicaFolder.AppendFile file;
  private long durableBytes;
  private boolean hasFailedWrite;
  private boolean isRenameUncertain;
  private boolean isNameUnsynced;
  private long baseBytes;
  private long batchBytes;

  private Journal(ReplicaFolder folder, String replicaId, long generation) {
    this.folder = folder;
    this.replicaId = replicaId;
    this.generation = generation;
  }

  /**
   * Opens the journal in a folder, or creates one with a new replica id.
   *
   * @param folder the data folder; {@link #close} closes it
   * @param newId generates a replica id
   * @throws DamagedJournalException if the journal is damaged or of another format version
   * @throws IOException if the folder cannot be read or written
   */
  public static Journal open(ReplicaFolder folder, Supplier<String> newId) throws IOException {
    List<String> names =
        folder.list().stream().filter(name -> name.startsWith(PREFIX)).sorted().toList();
    Journal journal = names.isEmpty() ? create(folder, newId.get()) : load(folder, names.getLast());
    journal.deleteLeftovers();
    return journal;
  }

  /** Deletes the files that a {@link #rewrite} replaces or has left, and no others. */
  private void deleteLeftovers() throws IOException {
    for (String name : folder.list()) {
      boolean isJournalFile = name.startsWith(PREFIX) || name.equals(TEMPORARY);
      if (isJournalFile && !name.equals(fileName())) {
        folder.delete(name);
      }
    }
  }

  private static Journal create(ReplicaFolder folder, String id) throws IOException {
    Journal journal = new Journal(folder, id, 0);
    journal.rewrite(JournalBase.getDefaultInstance());
    return journal;
  }

  private static Journal load(ReplicaFolder folder, String name) throws IOException {
    try (RecordReader records = RecordReader.open(folder, name)) {
      final JournalHeader header = readHeader(name, records);
      long baseStart = records.offset();
      readBase(name, records);
      final long baseBytes = records.offset() - baseStart;
      records.skipIntact();
      if (records.offset() < records.size()) {
        LOG.info("journal-cut", "file", name, "bytes", records.size() - records.offset());
        folder.truncate(name, records.offset());
      }
      long generation = Long.parseLong(name.substring(PREFIX.length()));
      Journal journal = new Journal(folder, header.getReplicaId(), generation);
      journal.file = folder.openForAppend(name);
      journal.file.sync();
      folder.sync();
      journal.baseBytes = baseBytes;
      journal.batchBytes = records.offset() - baseBytes;
      journal.durableBytes = records.offset();
      return journal;
    }
  }

  private static JournalHeader readHeader(String name, RecordReader records) throws IOException {
    Optional<JournalRecord> first = records.next().filter(JournalRecord::hasHeader);
    if (first.isEmpty()) {
      throw missingHeaderOrBase(name, records);
    }
    int version = first.get().getHeader().getFormatVersion();
    if (version != FORMAT_VERSION) {
      throw new DamagedJournalException(
          name, 0, "format version %d: expected %d".formatted(version, FORMAT_VERSION));
    }
    return first.get().getHeader();
  }

  private static JournalBase readBase(String name, RecordReader records) throws IOException {
    Optional<JournalRecord> second = records.next().filter(JournalRecord::hasBase);
    if (second.isEmpty()) {
      throw missingHeaderOrBase(name, records);
    }
    return second.get().getBase();
  }

  private static DamagedJournalException missingHeaderOrBase(String name, RecordReader records) {
    return new DamagedJournalException(name, records.offset(), "header or base is missing");
  }

  /**
   * Reads the contents again. Only one batch is held in memory at a time.
   *
   * @param snapshot called first, with the snapshot at which the log starts
   * @param batch called with each batch of changes, oldest first
   * @throws IOException if the file cannot be read
   */
  public void replay(Consumer<LogSnapshot> snapshot, Consumer<JournalBatch> batch)
      throws IOException {
    try (RecordReader records = RecordReader.open(folder, fileName())) {
      readHeader(fileName(), records);
      JournalBase base = readBase(fileName(), records);
      snapshot.accept(base.getSnapshot());
      batch.accept(base.getBatch());
      Optional<JournalRecord> next = records.next();
      while (next.isPresent()) {
        batch.accept(next.get().getBatch());
        next = records.next();
      }
    }
  }

  /** Returns the replica id that was generated when the journal was created. */
  public String replicaId() {
    return replicaId;
  }

  /** Returns the size of the base record, in bytes. */
  public long baseBytes() {
    return baseBytes;
  }

  /** Returns the size of the batches after the base record, in bytes. */
  public long batchBytes() {
    return batchBytes;
  }

  /**
   * Appends a batch, which is durable when the call returns.
   *
   * @throws IOException if the batch may not be durable. The next call removes what was written of
   *     it, so it must contain everything that this one should have stored.
   */
  public void append(JournalBatch batch) throws IOException {
    repair();
    byte[] bytes = RecordFormat.encode(JournalRecord.newBuilder().setBatch(batch).build());
    hasFailedWrite = true;
    file.write(bytes);
    file.sync();
    hasFailedWrite = false;
    durableBytes += bytes.length;
    batchBytes += bytes.length;
  }

  /** Restores the state after the last successful operation. */
  private void repair() throws IOException {
    if (isRenameUncertain) {
      // The next start would load the newest name, which lacks what is appended from now on.
      deleteIfPresent(fileName(generation + 1));
      isNameUnsynced = true;
      isRenameUncertain = false;
    }
    if (isNameUnsynced) {
      folder.sync();
      isNameUnsynced = false;
    }
    if (hasFailedWrite) {
      file.truncate(durableBytes);
    }
  }

  /**
   * Replaces the journal file by one with a newer base, which is durable when the call returns.
   *
   * @throws IOException if the new file may not be durable. The journal then goes on with one of
   *     the two files.
   */
  public void rewrite(JournalBase base) throws IOException {
    JournalHeader header =
        JournalHeader.newBuilder().setFormatVersion(FORMAT_VERSION).setReplicaId(replicaId).build();
    replaceBy(
        RecordFormat.encode(JournalRecord.newBuilder().setHeader(header).build()),
        RecordFormat.encode(JournalRecord.newBuilder().setBase(base).build()));
    deleteLeftovers();
  }

  private void replaceBy(byte[] header, byte[] base) throws IOException {
    repair();
    deleteIfPresent(TEMPORARY);
    ReplicaFolder.AppendFile replacement = folder.openForAppend(TEMPORARY);
    try {
      replacement.write(header);
      replacement.write(base);
      replacement.sync();
      isRenameUncertain = true;
      folder.rename(TEMPORARY, fileName(generation + 1));
      isRenameUncertain = false;
    } catch (IOException failed) {
      replacement.close();
      deleteIfPresent(TEMPORARY);
      throw failed;
    }
    switchTo(replacement, header.length + base.length);
    repair();
  }

  private void deleteIfPresent(String name) throws IOException {
    if (folder.list().contains(name)) {
      folder.delete(name);
    }
  }

  private void switchTo(ReplicaFolder.AppendFile replacement, int length) throws IOException {
    final Optional<ReplicaFolder.AppendFile> previous = Optional.ofNullable(file);
    file = replacement;
    generation++;
    isNameUnsynced = true;
    hasFailedWrite = false;
    durableBytes = length;
    baseBytes = length;
    batchBytes = 0;
    if (previous.isPresent()) {
      previous.get().close();
    }
  }

  private String fileName() {
    return fileName(generation);
  }

  private static String fileName(long generation) {
    return PREFIX + "%012d".formatted(generation);
  }

  @Override
  public void close() throws IOException {
    file.close();
    folder.close();
  }
}
