package org.waxwingbeam.caller;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.caller.PoisonRequestDetector.Fingerprint;
import org.waxwingbeam.model.TargetId;

class PoisonRequestDetectorTest {
  private static final Fingerprint CRASHING = new Fingerprint("aa", "a");
  private static final TargetId FIRST = new TargetId("10.0.0.1", 80);
  private static final TargetId SECOND = new TargetId("10.0.0.2", 80);
  private static final long RETENTION_MS = 1_000;
  private static final long MS = 1_000_000;

  private final PoisonRequestDetector list = new PoisonRequestDetector();

  @Test
  void requestThatCrashedTwoTargetsInSuccessionIsPoison() {
    lost(10, FIRST, 5);
    assertThat(list.isPoison(11 * MS, "aa")).isFalse();

    lost(20, SECOND, 15);
    assertThat(list.isPoison(21 * MS, "aa")).isTrue();
  }

  @Test
  void requestThatCrashedOneTargetTwiceIsNotPoison() {
    lost(10, FIRST, 5);
    lost(20, FIRST, 15);

    assertThat(list.isPoison(21 * MS, "aa")).isFalse();
  }

  @Test
  void requestAtTargetsLostConcurrentlyIsNotPoison() {
    lost(10, FIRST, 5);
    lost(11, SECOND, 6);

    assertThat(list.isPoison(12 * MS, "aa")).isFalse();
  }

  @Test
  void completeResponseClearsSuspicion() {
    lost(10, FIRST, 5);
    list.onResponse("aa");
    lost(20, SECOND, 15);

    assertThat(list.isPoison(21 * MS, "aa")).isFalse();
    assertThat(list.mayContain("a")).isTrue();
  }

  @Test
  void refusalEndsAfterTheRetentionTime() {
    lost(10, FIRST, 5);
    lost(20, SECOND, 15);

    assertThat(list.isPoison(1_019 * MS, "aa")).isTrue();
    assertThat(list.isPoison(1_020 * MS, "aa")).isFalse();
    assertThat(list.isEmpty()).isTrue();
  }

  @Test
  void crashesSeenByTwoEntryInstancesAddUp() {
    lost(10, FIRST, 5);
    PoisonRequestDetector other = new PoisonRequestDetector();
    other.onConnectionLost(50 * MS, CRASHING, SECOND, 45 * MS, RETENTION_MS);
    List<CrashRecord> records = other.drainChanges(60 * MS);
    records.forEach(record -> list.merge(70 * MS, record));

    assertThat(records).hasSize(1);
    assertThat(other.drainChanges(61 * MS)).isEmpty();
    assertThat(list.isPoison(71 * MS, "aa")).isTrue();
    // The second crash, reported at 50 ms, was 10 ms old in the record and so counts from 60 ms
    // here.
    assertThat(list.isPoison(1_060 * MS, "aa")).isFalse();
  }

  @Test
  void oldestSuspectIsEvictedWhenTheListIsFull() {
    for (int i = 0; i <= 10_000; i++) {
      String name = "r" + i;
      list.onConnectionLost(i, new Fingerprint(name, name), FIRST, i, RETENTION_MS);
    }

    assertThat(list.mayContain("r0")).isFalse();
    assertThat(list.mayContain("r10000")).isTrue();
  }

  private void lost(long nowMs, TargetId target, long sentMs) {
    list.onConnectionLost(nowMs * MS, CRASHING, target, sentMs * MS, RETENTION_MS);
  }
}
