package org.waxwingbeam.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.stream.Collectors;
import org.waxwingbeam.caller.CrashRecord;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.wire.poison.CrashedTarget;
import org.waxwingbeam.wire.poison.PoisonSighting;

/**
 * Codec between {@link CrashRecord} and the records that entry instances share.
 *
 * @since 0.1.0
 */
public final class PoisonRecordCodec {
  private PoisonRecordCodec() {}

  /**
   * Converts a crash record to a record to share.
   *
   * @param crashRecord what this entry instance has found
   * @param self this entry instance; records of different entry instances have different keys
   * @param bootId boot id of this entry instance
   * @param generation higher than that of the record shared before for the same fingerprint
   */
  public static SoftRecord toRecord(
      CrashRecord crashRecord, InstanceName self, long bootId, long generation) {
    PoisonSighting.Builder wire =
        PoisonSighting.newBuilder()
            .setFingerprint(crashRecord.fingerprint())
            .setPrefix(crashRecord.pathDigest())
            .setRetentionMs(crashRecord.retentionMs());
    crashRecord.targets().stream()
        .sorted()
        .map(PoisonRecordCodec::toWire)
        .forEach(wire::addTargets);
    return new SoftRecord(
        SoftRecord.Kind.POISON_REQUEST,
        crashRecord.fingerprint() + "@" + self,
        bootId,
        generation,
        wire.build().toByteString(),
        Math.max(1, crashRecord.retentionMs() - crashRecord.ageMs()));
  }

  private static CrashedTarget toWire(TargetId target) {
    return CrashedTarget.newBuilder().setHost(target.host()).setPort(target.port()).build();
  }

  /** Decodes a shared record; empty if it is of another kind or malformed. */
  public static Optional<CrashRecord> fromRecord(SoftRecord record) {
    if (record.kind() != SoftRecord.Kind.POISON_REQUEST) {
      return Optional.empty();
    }
    try {
      PoisonSighting wire = PoisonSighting.parseFrom(record.value());
      return Optional.of(
          new CrashRecord(
              wire.getFingerprint(),
              wire.getPrefix(),
              wire.getTargetsList().stream()
                  .map(each -> new TargetId(each.getHost(), each.getPort()))
                  .collect(Collectors.toSet()),
              Math.max(0, wire.getRetentionMs() - record.timeToLiveMs()),
              wire.getRetentionMs()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }
}
