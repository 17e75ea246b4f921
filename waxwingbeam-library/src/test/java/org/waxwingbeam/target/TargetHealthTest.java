package org.waxwingbeam.target;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class TargetHealthTest {
  private static final long MS = 1_000_000;
  private static final double TYPICAL = 8 * MS;

  private final TargetHealth health = new TargetHealth();

  @Test
  void threeFailuresInRowEject() {
    health.recordOutcome(0, AttemptOutcome.FAILURE, MS, TYPICAL);
    health.recordOutcome(0, AttemptOutcome.FAILURE, MS, TYPICAL);
    assertThat(health.isSuspect(0)).isFalse();

    health.recordOutcome(0, AttemptOutcome.FAILURE, MS, TYPICAL);
    assertThat(health.isSuspect(0)).isTrue();
    assertThat(health.allowsTrial(99 * MS)).isFalse();
    assertThat(health.allowsTrial(100 * MS)).isTrue();
  }

  @Test
  void threeSuccessfulTrialsEndTheEjection() {
    fail(0, 3);
    for (int trial = 0; trial < 3; trial++) {
      assertThat(health.isSuspect(200 * MS)).isTrue();
      health.recordOutcome(200 * MS, AttemptOutcome.SUCCESS, TYPICAL, TYPICAL);
    }
    assertThat(health.isSuspect(200 * MS)).isFalse();
  }

  @Test
  void failedTrialEjectsForTwiceTheTime() {
    fail(0, 3);
    fail(100 * MS, 1);

    assertThat(health.allowsTrial(299 * MS)).isFalse();
    assertThat(health.allowsTrial(300 * MS)).isTrue();
  }

  @Test
  void fastFailureCountsAsOutstandingForTheTypicalLatency() {
    health.recordOutcome(0, AttemptOutcome.FAILURE, MS, TYPICAL);

    assertThat(health.countedFailures(7 * MS - 1)).isEqualTo(1);
    assertThat(health.countedFailures(7 * MS)).isEqualTo(0);
  }

  @Test
  void slowResponsesEjectAndQuickOnesBetweenThemDoNot() {
    health.recordOutcome(0, AttemptOutcome.SUCCESS, 7 * TYPICAL, TYPICAL);
    health.recordOutcome(0, AttemptOutcome.SUCCESS, 7 * TYPICAL, TYPICAL);
    health.recordOutcome(0, AttemptOutcome.SUCCESS, TYPICAL, TYPICAL);
    health.recordOutcome(0, AttemptOutcome.SUCCESS, 7 * TYPICAL, TYPICAL);
    assertThat(health.isSuspect(0)).isFalse();

    health.recordOutcome(0, AttemptOutcome.SUCCESS, 7 * TYPICAL, TYPICAL);
    health.recordOutcome(0, AttemptOutcome.SUCCESS, 7 * TYPICAL, TYPICAL);
    assertThat(health.isSuspect(0)).isTrue();
  }

  private void fail(long nowNanos, int times) {
    for (int count = 0; count < times; count++) {
      health.recordOutcome(nowNanos, AttemptOutcome.FAILURE, MS, TYPICAL);
    }
  }
}
