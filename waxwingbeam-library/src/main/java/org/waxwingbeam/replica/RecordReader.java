package org.waxwingbeam.replica;

import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;
import org.waxwingbeam.wire.replica.JournalRecord;

/**
 * Reads the records of a journal file one after the other, so that the memory that it takes does
 * not depend on the length of the file.
 */
final class RecordReader implements AutoCloseable {
  private static final int WINDOW_BYTES = 64 << 10;

  private final String name;
  private final ReplicaFolder.ReadFile file;
  private final long size;
  private long offset;
  private byte[] window = {};
  private long windowStart;

  private RecordReader(String name, ReplicaFolder.ReadFile file) throws IOException {
    this.name = name;
    this.file = file;
    size = file.size();
  }

  /** Opens a file; the reader is before its first record. */
  static RecordReader open(ReplicaFolder folder, String name) throws IOException {
    return new RecordReader(name, folder.openForRead(name));
  }

  /** Returns the offset of the next record: of the first invalid one once all are read. */
  long offset() {
    return offset;
  }

  /** Returns the length of the file in bytes. */
  long size() {
    return size;
  }

  /**
   * Reads the next record.
   *
   * @return empty if no valid record begins at the offset
   * @throws DamagedJournalException if the record has a valid checksum but no valid payload
   */
  Optional<JournalRecord> next() throws IOException {
    Optional<byte[]> payload = payloadAt(offset);
    if (payload.isEmpty()) {
      return Optional.empty();
    }
    JournalRecord record = RecordFormat.parse(name, offset, payload.get());
    offset += RecordFormat.HEADER_BYTES + payload.get().length;
    return Optional.of(record);
  }

  /**
   * Skips all records with a valid checksum.
   *
   * @throws DamagedJournalException if one of them follows an invalid record, since an interrupted
   *     write can damage only the last record
   */
  void skipIntact() throws IOException {
    Optional<byte[]> payload = payloadAt(offset);
    while (payload.isPresent()) {
      offset += RecordFormat.HEADER_BYTES + payload.get().length;
      payload = payloadAt(offset);
    }
    checkNoFurtherRecord();
  }

  private void checkNoFurtherRecord() throws IOException {
    for (long each = offset + 1; each <= size - RecordFormat.HEADER_BYTES; each++) {
      load(each, RecordFormat.HEADER_BYTES);
      if (RecordFormat.isMagic(window, (int) (each - windowStart)) && payloadAt(each).isPresent()) {
        throw new DamagedJournalException(
            name, offset, "damaged record is followed by a valid one");
      }
    }
  }

  private Optional<byte[]> payloadAt(long position) throws IOException {
    long start = position + RecordFormat.HEADER_BYTES;
    if (start > size) {
      return Optional.empty();
    }
    Optional<RecordFormat.Header> header =
        RecordFormat.decodeHeader(read(position, RecordFormat.HEADER_BYTES), size - start);
    if (header.isEmpty()) {
      return Optional.empty();
    }
    byte[] payload = read(start, header.get().length());
    return RecordFormat.isIntact(header.get(), payload) ? Optional.of(payload) : Optional.empty();
  }

  private byte[] read(long position, int length) throws IOException {
    if (length > WINDOW_BYTES) {
      return file.read(position, length);
    }
    load(position, length);
    int from = (int) (position - windowStart);
    return Arrays.copyOfRange(window, from, Math.min(from + length, window.length));
  }

  /** Makes the window hold a range of the file. */
  private void load(long position, int length) throws IOException {
    if (position < windowStart || position + length > windowStart + window.length) {
      window = file.read(position, WINDOW_BYTES);
      windowStart = position;
    }
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
