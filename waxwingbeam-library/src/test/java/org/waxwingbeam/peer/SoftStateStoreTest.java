package org.waxwingbeam.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.WarmupState;

class SoftStateStoreTest {
  private static final long MS = 1_000_000;

  private final SoftStateStore state = new SoftStateStore();

  @Test
  void recordIsNewOnlyOnce() {
    assertThat(state.merge(0, List.of(record(1, 1)))).containsExactly(record(1, 1));
    assertThat(state.merge(0, List.of(record(1, 1)))).isEmpty();
  }

  @Test
  void lowerBootIdOrGenerationIsNotNew() {
    state.merge(0, List.of(record(2, 5)));

    assertThat(state.merge(0, List.of(record(1, 9), record(2, 4)))).isEmpty();
    assertThat(state.merge(0, List.of(record(3, 1)))).containsExactly(record(3, 1));
  }

  @Test
  void recordIsKeptForItsTimeToLive() {
    state.merge(0, List.of(record(1, 1)));

    assertThat(state.records(400 * MS).getFirst().timeToLiveMs()).isEqualTo(600);
    assertThat(state.records(1_000 * MS)).isEmpty();
  }

  @Test
  void encodedWarmupStateIsDecodedUnchanged() {
    WarmupState state = new WarmupState(new TargetId("127.0.0.1", 9000), 7, 3, true, 12);

    assertThat(WarmupStateCodec.fromRecord(WarmupStateCodec.toRecord(state)))
        .isEqualTo(Optional.of(state));
  }

  private static SoftRecord record(long bootId, long generation) {
    return new SoftRecord(SoftRecord.Kind.WARMTH, "a", bootId, generation, ByteString.EMPTY, 1_000);
  }
}
