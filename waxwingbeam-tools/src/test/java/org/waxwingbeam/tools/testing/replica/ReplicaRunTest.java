package org.waxwingbeam.tools.testing.replica;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates replicas under random faults, with fixed seeds, and checks the invariants. */
class ReplicaRunTest {
  private static final long DURATION_MS = 120_000;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void threeReplicasLoseNothing(long seed) {
    ReplicaRun.Report report = new ReplicaRun(seed, 3).run(DURATION_MS);

    assertThat(report.acceptedChanges()).isGreaterThan(10);
    assertThat(report.terms()).isGreaterThan(2);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void fiveReplicasLoseNothing(long seed) {
    ReplicaRun.Report report = new ReplicaRun(seed, 5).run(DURATION_MS);

    assertThat(report.acceptedChanges()).isGreaterThan(10);
    assertThat(report.terms()).isGreaterThan(2);
  }

  @Test
  void replacementThatBeganUnderAnEarlierLeaderIsFinished() {
    ReplicaRun.Report report = new ReplicaRun(304, 5).run(60_000);

    assertThat(report.lostDisks()).isGreaterThan(0);
  }
}
