package org.waxwingbeam.replica;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.waxwingbeam.wire.replica.JournalRecord;

/**
 * Encodes and decodes journal records. A record consists of a magic number, the length of the
 * payload, a CRC-32C over length and payload, each of four bytes, and the payload.
 */
final class RecordFormat {
  static final int HEADER_BYTES = 12;

  private static final int MAGIC = 0x57424A31;
  private static final int MAX_PAYLOAD_BYTES = 256 << 20;

  private RecordFormat() {}

  /** The header of a record. */
  record Header(int length, int checksum) {}

  static byte[] encode(JournalRecord message) {
    int length = message.getSerializedSize();
    ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + length);
    CodedOutputStream payload = CodedOutputStream.newInstance(record.array(), HEADER_BYTES, length);
    try {
      message.writeTo(payload);
    } catch (IOException impossible) {
      throw new UncheckedIOException("writing to an array", impossible);
    }
    return record
        .putInt(MAGIC)
        .putInt(length)
        .putInt(checksum(record.array(), HEADER_BYTES, length))
        .array();
  }

  private static int checksum(byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
    crc.update(bytes, offset, length);
    return (int) crc.getValue();
  }

  /** Returns whether a record may begin at a position in an array. */
  static boolean isMagic(byte[] bytes, int position) {
    return position + Integer.BYTES <= bytes.length
        && ByteBuffer.wrap(bytes).getInt(position) == MAGIC;
  }

  /**
   * Decodes the header of a record.
   *
   * @param bytes the header
   * @param available number of bytes that the file holds after the header
   * @return empty if the header is not valid, or its record does not end in the file
   */
  static Optional<Header> decodeHeader(byte[] bytes, long available) {
    if (!isMagic(bytes, 0) || bytes.length < HEADER_BYTES) {
      return Optional.empty();
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes, Integer.BYTES, HEADER_BYTES - Integer.BYTES);
    Header header = new Header(buffer.getInt(), buffer.getInt());
    boolean valid =
        header.length() >= 0 && header.length() <= Math.min(available, MAX_PAYLOAD_BYTES);
    return valid ? Optional.of(header) : Optional.empty();
  }

  /** Returns whether a payload has the checksum of its header. */
  static boolean isIntact(Header header, byte[] payload) {
    return payload.length == header.length()
        && checksum(payload, 0, payload.length) == header.checksum();
  }

  /**
   * Decodes a payload with a valid checksum.
   *
   * @param file name of the file that holds it
   * @param offset offset of its record
   */
  static JournalRecord parse(String file, long offset, byte[] payload)
      throws DamagedJournalException {
    try {
      return JournalRecord.parseFrom(payload);
    } catch (InvalidProtocolBufferException malformed) {
      throw new DamagedJournalException(
          file, offset, "record has a valid checksum but is not a JournalRecord message");
    }
  }
}
