package org.waxwingbeam.replica;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.waxwingbeam.wire.replica.JournalBase;
import org.waxwingbeam.wire.replica.JournalBatch;
import org.waxwingbeam.wire.replica.JournalHeader;
import org.waxwingbeam.wire.replica.JournalRecord;
import org.waxwingbeam.wire.replica.LogEntry;
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
  private static final int FORMAT_VERSION = 1;
  private static final String PREFIX = "journal-";
  private static final String TEMPORARY = "journal.new";
  private static final int HEADER_AND_BASE_RECORDS = 2;
  private static final Recovered EMPTY =
      new Recovered(LogSnapshot.getDefaultInstance(), 0, "", List.of(), 0, 0);

  private final ReplicaFolder folder;
  private final String replicaId;
  private Recovered recovered;
  private long generation;
  private ReplicaFolder.AppendFile file;
  private long durableBytes;
  private boolean hasFailedWrite;
  private boolean isRenameUncertain;
  private boolean isNameUnsynced;
  private long baseBytes;
  private long batchBytes;

  /**
   * The contents of a journal when it was opened.
   *
   * @param snapshot the snapshot at which the log starts
   * @param term the newest term
   * @param votedFor the replica that got the vote in that term, or empty text
   * @param entries the entries after the snapshot, in order
   * @param committed index of the last entry that was known to be committed
   * @param cutBytes number of bytes of an interrupted write that were cut from the end of the file
   */
  public record Recovered(
      LogSnapshot snapshot,
      long term,
      String votedFor,
      List<LogEntry> entries,
      long committed,
      long cutBytes) {
    /** Copies the list. */
    public Recovered {
      entries = List.copyOf(entries);
    }
  }

  private Journal(ReplicaFolder folder, String replicaId, long generation, Recovered recovered) {
    this.folder = folder;
    this.replicaId = replicaId;
    this.generation = generation;
    this.recovered = recovered;
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
    Journal journal = new Journal(folder, id, 0, EMPTY);
    journal.rewrite(JournalBase.getDefaultInstance());
    return journal;
  }

  private static Journal load(ReplicaFolder folder, String name) throws IOException {
    byte[] bytes = folder.read(name);
    RecordFormat.Contents contents = RecordFormat.read(name, bytes);
    checkHeaderAndBase(name, contents);
    if (contents.end() < bytes.length) {
      folder.truncate(name, contents.end());
    }
    JournalHeader header = contents.records().getFirst().getHeader();
    long generation = Long.parseLong(name.substring(PREFIX.length()));
    Recovered recovered = replay(contents.records(), bytes.length - contents.end());
    Journal journal = new Journal(folder, header.getReplicaId(), generation, recovered);
    journal.file = folder.openForAppend(name);
    journal.file.sync();
    folder.sync();
    journal.baseBytes = RecordFormat.encode(contents.records().get(1)).length;
    journal.batchBytes = contents.end() - journal.baseBytes;
    journal.durableBytes = contents.end();
    return journal;
  }

  private static void checkHeaderAndBase(String name, RecordFormat.Contents contents)
      throws DamagedJournalException {
    List<JournalRecord> records = contents.records();
    if (records.size() < HEADER_AND_BASE_RECORDS
        || !records.getFirst().hasHeader()
        || !records.get(1).hasBase()) {
      throw new DamagedJournalException(name, contents.end(), "header or base is missing");
    }
    int version = records.getFirst().getHeader().getFormatVersion();
    if (version != FORMAT_VERSION) {
      throw new DamagedJournalException(
          name, 0, "format version %d: expected %d".formatted(version, FORMAT_VERSION));
    }
  }

  private static Recovered replay(List<JournalRecord> records, long cutBytes) {
    JournalBase base = records.get(1).getBase();
    long snapshotIndex = base.getSnapshot().getIndex();
    List<LogEntry> entries = new ArrayList<>(base.getBatch().getEntriesList());
    JournalBatch newest = base.getBatch();
    long committed = Math.max(snapshotIndex, newest.getCommitted());
    for (JournalRecord each : records.subList(HEADER_AND_BASE_RECORDS, records.size())) {
      newest = each.getBatch();
      newest.getEntriesList().forEach(entry -> put(entries, snapshotIndex, entry));
      committed = Math.max(committed, newest.getCommitted());
    }
    return new Recovered(
        base.getSnapshot(), newest.getTerm(), newest.getVotedFor(), entries, committed, cutBytes);
  }

  private static void put(List<LogEntry> entries, long snapshotIndex, LogEntry entry) {
    int position = (int) (entry.getIndex() - snapshotIndex - 1);
    entries.subList(position, entries.size()).clear();
    entries.add(entry);
  }

  /** Returns the replica id that was generated when the journal was created. */
  public String replicaId() {
    return replicaId;
  }

  /** Returns the contents of the journal when it was opened, and releases them. */
  public Recovered takeRecovered() {
    Recovered taken = recovered;
    recovered = EMPTY;
    return taken;
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
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(RecordFormat.encode(JournalRecord.newBuilder().setHeader(header).build()));
    bytes.writeBytes(RecordFormat.encode(JournalRecord.newBuilder().setBase(base).build()));
    replaceBy(bytes.toByteArray());
    deleteLeftovers();
  }

  private void replaceBy(byte[] bytes) throws IOException {
    repair();
    deleteIfPresent(TEMPORARY);
    ReplicaFolder.AppendFile replacement = folder.openForAppend(TEMPORARY);
    try {
      replacement.write(bytes);
      replacement.sync();
      isRenameUncertain = true;
      folder.rename(TEMPORARY, fileName(generation + 1));
      isRenameUncertain = false;
    } catch (IOException failed) {
      replacement.close();
      deleteIfPresent(TEMPORARY);
      throw failed;
    }
    switchTo(replacement, bytes.length);
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
