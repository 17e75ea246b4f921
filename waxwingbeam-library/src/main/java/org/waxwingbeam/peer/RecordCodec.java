package org.waxwingbeam.peer;

import java.util.List;
import java.util.Optional;
import org.waxwingbeam.peer.SoftRecord.Kind;
import org.waxwingbeam.wire.peer.PeerMessage;
import org.waxwingbeam.wire.peer.Record;
import org.waxwingbeam.wire.peer.Records;

/**
 * Converts records to and from their wire form.
 *
 * @since 0.1.0
 */
public final class RecordCodec {
  private RecordCodec() {}

  /** Returns the message that carries records. */
  public static PeerMessage toMessage(List<SoftRecord> records) {
    Records.Builder wire = Records.newBuilder();
    records.stream().map(RecordCodec::toWire).forEach(wire::addRecords);
    return PeerMessage.newBuilder().setRecords(wire).build();
  }

  /** Reads the records of a message; those of unknown kinds are left out. */
  public static List<SoftRecord> fromWire(Records records) {
    return records.getRecordsList().stream()
        .map(RecordCodec::read)
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

  private static Optional<SoftRecord> read(Record wire) {
    return kind(wire)
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

  private static Optional<Kind> kind(Record wire) {
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
