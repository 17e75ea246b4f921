package org.waxwingbeam.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.WarmupState;

/**
 * Codec between {@link WarmupState} and the records that entry instances share.
 *
 * @since 0.1.0
 */
public final class WarmupStateCodec {
  private static final long TIME_TO_LIVE_MS = TimeUnit.DAYS.toMillis(30);

  private WarmupStateCodec() {}

  /** Converts a warm-up state to a record to share. Within one generation, cold replaces warm. */
  public static SoftRecord toRecord(WarmupState state) {
    org.waxwingbeam.wire.peer.Warmth value =
        org.waxwingbeam.wire.peer.Warmth.newBuilder()
            .setHost(state.target().host())
            .setPort(state.target().port())
            .setGeneration(state.generation())
            .setWarm(state.warm())
            .setConfiguration(state.configurationNumber())
            .build();
    return new SoftRecord(
        SoftRecord.Kind.WARMTH,
        state.target().toString(),
        state.bootId(),
        2 * state.generation() + (state.warm() ? 0 : 1),
        value.toByteString(),
        TIME_TO_LIVE_MS);
  }

  /** Decodes a shared record; empty if it is of another kind or malformed. */
  public static Optional<WarmupState> fromRecord(SoftRecord record) {
    if (record.kind() != SoftRecord.Kind.WARMTH) {
      return Optional.empty();
    }
    try {
      var value = org.waxwingbeam.wire.peer.Warmth.parseFrom(record.value());
      return Optional.of(
          new WarmupState(
              new TargetId(value.getHost(), value.getPort()),
              record.bootId(),
              value.getGeneration(),
              value.getWarm(),
              value.getConfiguration()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }
}
