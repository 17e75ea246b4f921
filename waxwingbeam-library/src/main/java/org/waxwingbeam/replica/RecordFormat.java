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
 * Encodes journal records. Each is a mark, the length of its payload, a CRC-32C over length and
 * payload, four bytes each, and the payload.
 */
final class RecordFormat {
  private static final int MARK = 0x57424A31;
  private static final int HEAD_BYTES = 12;
  private static final int MAX_PAYLOAD_BYTES = 256 << 20;

  private RecordFormat() {}

  /**
   * The records of a file.
   *
   * @param records every record up to the first that is not whole
   * @param end where the first record that is not whole begins, or the length of the file
   */
  record Contents(List<JournalRecord> records, int end) {}

  static byte[] encode(JournalRecord message) {
    byte[] payload = message.toByteArray();
    return ByteBuffer.allocate(HEAD_BYTES + payload.length)
        .putInt(MARK)
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
   * Reads a file.
   *
   * @throws DamagedJournalException if a whole record follows one that is not; an interrupted write
   *     can damage the last record only
   */
  static Contents read(String file, byte[] bytes) throws DamagedJournalException {
    List<JournalRecord> records = new ArrayList<>();
    int offset = 0;
    Optional<byte[]> payload = payloadAt(bytes, offset);
    while (payload.isPresent()) {
      records.add(parse(file, offset, payload.get()));
      offset += HEAD_BYTES + payload.get().length;
      payload = payloadAt(bytes, offset);
    }
    checkNoRecordAfter(file, bytes, offset);
    return new Contents(records, offset);
  }

  private static JournalRecord parse(String file, int offset, byte[] payload)
      throws DamagedJournalException {
    try {
      return JournalRecord.parseFrom(payload);
    } catch (InvalidProtocolBufferException wrong) {
      throw new DamagedJournalException(file, offset, "record of an unknown form");
    }
  }

  private static void checkNoRecordAfter(String file, byte[] bytes, int offset)
      throws DamagedJournalException {
    boolean found =
        IntStream.range(offset + 1, bytes.length)
            .anyMatch(each -> payloadAt(bytes, each).isPresent());
    if (found) {
      throw new DamagedJournalException(file, offset, "damaged record before whole ones");
    }
  }

  private static Optional<byte[]> payloadAt(byte[] bytes, int offset) {
    int available = bytes.length - offset - HEAD_BYTES;
    if (available < 0) {
      return Optional.empty();
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes, offset, bytes.length - offset);
    int mark = buffer.getInt();
    int length = buffer.getInt();
    if (mark != MARK || length < 0 || length > Math.min(available, MAX_PAYLOAD_BYTES)) {
      return Optional.empty();
    }
    int checksum = buffer.getInt();
    byte[] payload = new byte[length];
    buffer.get(payload);
    return checksum == checksum(payload) ? Optional.of(payload) : Optional.empty();
  }
}
