package org.waxwingbeam.tools.measure.requests;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs requests through random faults of every kind, with fixed seeds. */
@Timeout(120)
class FaultRunTest {
  @Test
  void everyRequestGetsItsOwnResponseAndRunsAtMostOnce() throws Exception {
    FaultTally tally = new FaultTally();
    for (long seed = 1; seed <= 4; seed++) {
      try (FaultRun run = new FaultRun(seed)) {
        tally.add(run.run(40));
      }
    }

    assertThat(tally.violations()).isEmpty();
    assertThat(tally.requests()).isEqualTo(160);
    assertThat(tally.responses()).containsKey("answered");
  }
}
