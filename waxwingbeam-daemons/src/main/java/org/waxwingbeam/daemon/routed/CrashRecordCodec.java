package org.waxwingbeam.daemon.routed;

import java.util.Optional;
import java.util.stream.Collectors;
import org.waxwingbeam.caller.CrashRecord;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.feed.CrashSighting;

/** Converts crash records of suspected poison requests to and from their wire form. */
final class CrashRecordCodec {
  private static final EventLog LOG = new EventLog(CrashRecordCodec.class);

  private CrashRecordCodec() {}

  static CrashSighting encode(CrashRecord record) {
    return CrashSighting.newBuilder()
        .setFingerprint(record.fingerprint())
        .setPrefix(record.pathDigest())
        .addAllTargets(record.targets().stream().map(TargetId::toString).sorted().toList())
        .setAgeMs(record.ageMs())
        .setRetentionMs(record.retentionMs())
        .build();
  }

  static CrashRecord decode(CrashSighting message) {
    return new CrashRecord(
        message.getFingerprint(),
        message.getPrefix(),
        message.getTargetsList().stream()
            .map(CrashRecordCodec::parseTargetId)
            .flatMap(Optional::stream)
            .collect(Collectors.toUnmodifiableSet()),
        message.getAgeMs(),
        message.getRetentionMs());
  }

  private static Optional<TargetId> parseTargetId(String text) {
    Optional<TargetId> parsed =
        Endpoint.parse(text)
            .filter(each -> each.port() > 0 && !each.host().isBlank())
            .map(each -> new TargetId(each.host(), each.port()));
    if (parsed.isEmpty()) {
      LOG.warn("crash-record-malformed", "target", text);
    }
    return parsed;
  }
}
