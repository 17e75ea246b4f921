package org.waxwingbeam.tools.measure.requests;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class PoisonRunTest {
  @Test
  void crashingRequestIsRefusedAfterTwoTargetsAndOthersAreServed() throws Exception {
    try (PoisonRun run = new PoisonRun(3)) {
      run.run(20);

      assertThat(run.crashes()).isEqualTo(2);
      assertThat(run.refused()).isAtLeast(18);
      assertThat(run.failedOrdinaryRequests()).isEqualTo(0);
    }
  }
}
