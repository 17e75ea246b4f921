package org.waxwingbeam.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.caller.CrashRecord;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.TargetId;

class PoisonRecordCodecTest {
  private static final CrashRecord FOUND =
      new CrashRecord(
          "aa", "a", Set.of(new TargetId("10.0.0.1", 80), new TargetId("10.0.0.2", 80)), 40, 1_000);

  @Test
  void sharedRecordCarriesTheFindingAndItsAge() {
    SoftRecord shared = PoisonRecordCodec.toRecord(FOUND, new InstanceName("entry-1"), 7, 3);

    assertThat(shared.key()).isEqualTo("aa@entry-1");
    assertThat(shared.timeToLiveMs()).isEqualTo(960);
    assertThat(PoisonRecordCodec.fromRecord(shared)).hasValue(FOUND);
  }

  @Test
  void malformedRecordsAndOtherKindsAreIgnored() {
    SoftRecord malformed =
        new SoftRecord(
            SoftRecord.Kind.POISON_REQUEST, "k", 1, 1, ByteString.copyFromUtf8("x"), 1_000);
    SoftRecord other = new SoftRecord(SoftRecord.Kind.WARMTH, "k", 1, 1, ByteString.EMPTY, 1_000);

    assertThat(PoisonRecordCodec.fromRecord(malformed)).isEmpty();
    assertThat(PoisonRecordCodec.fromRecord(other)).isEmpty();
  }
}
