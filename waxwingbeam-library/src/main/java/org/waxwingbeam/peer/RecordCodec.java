package org.waxwingbeam.peer;

import java.util.List;
import java.util.Optional;
import org.waxwingbeam.peer.SoftRecord.Kind;
import org.waxwingbeam.wire.peer.PeerMessage;
import org.waxwingbeam.wire.peer.Record;
import org.waxwingbeam.wire.peer.Records;

/**
 * Codec between records and their wire messages.
 *
 * @since 0.1.0
 */
public final class RecordCodec {
  private RecordCodec() {}

  /** Encodes records as one message. */
  public static PeerMessage toMessage(List<SoftRecord> records) {
    Records.Builder wire = Records.newBuilder();
    records.stream().map(RecordCodec::toWire).forEach(wire::addRecords);
    return PeerMessage.newBuilder().setRecords(wire).build();
  }

  /** Decodes the records of a message; skips those of unknown kinds. */
  public static List<SoftRecord> fromWire(Records records) {
    return records.getRecordsList().stream()
        .map(RecordCodec::decode)
        .flatMap(Optional::stream)
        .toList();
  }

  private static Record toWire(SoftRecord record) {
    return Record.newBuilder()
        .setKind(
            switch (record.kind()) {
              case WARMTH -> Record.Kind.WARMTH;
              case VERSION_SUSPICION -> Record.Kind.VERSION_SUSPICION;
              case POISON_REQUEST -> Record.Kind.POISON_REQUEST;
              case ANNOUNCEMENT -> Record.Kind.ANNOUNCEMENT;
              case PRESENCE -> Record.Kind.PRESENCE;
            })
        .setKey(record.key())
        .setBootId(record.bootId())
        .setGeneration(record.generation())
        .setValue(record.value())
        .setTimeToLiveMs(record.timeToLiveMs())
        .build();
  }

  private static Optional<SoftRecord> decode(Record wire) {
    return decodeKind(wire)
        .map(
            kind ->
                new SoftRecord(
                    kind,
                    wire.getKey(),
                    wire.getBootId(),
                    wire.getGeneration(),
                    wire.getValue(),
                    wire.getTimeToLiveMs()));
  }

  private static Optional<Kind> decodeKind(Record wire) {
    return switch (wire.getKind()) {
      case WARMTH -> Optional.of(Kind.WARMTH);
      case VERSION_SUSPICION -> Optional.of(Kind.VERSION_SUSPICION);
      case POISON_REQUEST -> Optional.of(Kind.POISON_REQUEST);
      case ANNOUNCEMENT -> Optional.of(Kind.ANNOUNCEMENT);
      case PRESENCE -> Optional.of(Kind.PRESENCE);
      case KIND_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
    };
  }
}
