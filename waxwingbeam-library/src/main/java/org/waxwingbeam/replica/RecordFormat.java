package org.waxwingbeam.replica;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.zip.CRC32C;
import org.waxwingbeam.wire.replica.JournalRecord;

/**
 * Encodes and decodes journal records. A record consists of a magic number, the length of the
 * payload, a CRC-32C over length and payload, each of four bytes, and the payload.
 */
final class RecordFormat {
  private static final int MAGIC = 0x57424A31;
  private static final int HEADER_BYTES = 12;
  private static final int MAX_PAYLOAD_BYTES = 256 << 20;

  private RecordFormat() {}

  /**
   * The decoded contents of a file.
   *
   * @param records the valid records before the first invalid one
   * @param end offset of the first invalid record, or the length of the file
   */
  record Contents(List<JournalRecord> records, int end) {}

  static byte[] encode(JournalRecord message) {
    byte[] payload = message.toByteArray();
    return ByteBuffer.allocate(HEADER_BYTES + payload.length)
        .putInt(MAGIC)
        .putInt(payload.length)
        .putInt(checksum(payload))
        .put(payload)
        .array();
  }

  private static int checksum(byte[] payload) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(payload.length).flip());
    crc.update(payload);
    return (int) crc.getValue();
  }

  /**
   * Decodes the contents of a file.
   *
   * @throws DamagedJournalException if a valid record follows an invalid one, since an interrupted
   *     write can damage only the last record
   */
  static Contents read(String file, byte[] bytes) throws DamagedJournalException {
    List<JournalRecord> records = new ArrayList<>();
    int offset = 0;
    Optional<byte[]> payload = payloadAt(bytes, offset);
    while (payload.isPresent()) {
      records.add(parse(file, offset, payload.get()));
      offset += HEADER_BYTES + payload.get().length;
      payload = payloadAt(bytes, offset);
    }
    checkNoRecordAfter(file, bytes, offset);
    return new Contents(records, offset);
  }

  private static JournalRecord parse(String file, int offset, byte[] payload)
      throws DamagedJournalException {
    try {
      return JournalRecord.parseFrom(payload);
    } catch (InvalidProtocolBufferException malformed) {
      throw new DamagedJournalException(
          file, offset, "record has a valid checksum but is not a JournalRecord message");
    }
  }

  private static void checkNoRecordAfter(String file, byte[] bytes, int offset)
      throws DamagedJournalException {
    boolean found =
        IntStream.range(offset + 1, bytes.length)
            .anyMatch(each -> payloadAt(bytes, each).isPresent());
    if (found) {
      throw new DamagedJournalException(file, offset, "damaged record is followed by a valid one");
    }
  }

  private static Optional<byte[]> payloadAt(byte[] bytes, int offset) {
    int available = bytes.length - offset - HEADER_BYTES;
    if (available < 0) {
      return Optional.empty();
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes, offset, bytes.length - offset);
    int magic = buffer.getInt();
    int length = buffer.getInt();
    if (magic != MAGIC || length < 0 || length > Math.min(available, MAX_PAYLOAD_BYTES)) {
      return Optional.empty();
    }
    int checksum = buffer.getInt();
    byte[] payload = new byte[length];
    buffer.get(payload);
    return checksum == checksum(payload) ? Optional.of(payload) : Optional.empty();
  }
}
