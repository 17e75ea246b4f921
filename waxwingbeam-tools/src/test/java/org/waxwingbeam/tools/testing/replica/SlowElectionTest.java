package org.waxwingbeam.tools.testing.replica;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Elections between replicas whose disks or links are slow. */
class SlowElectionTest {
  private static void electLeader(long delayMs) throws Exception {
    ReplicaGroup group = new ReplicaGroup();
    for (int address = 1; address <= ReplicaGroup.VOTERS; address++) {
      group.slow(address, delayMs);
    }
    group.stop(group.leader().orElseThrow());

    group.await(5_000, () -> group.leader().isPresent());
  }

  /** Guards against votes that never count, as they arrive after the next pre-vote has started. */
  @ParameterizedTest
  @ValueSource(longs = {50, 100, 180})
  void votesThatArriveDuringTheNextPreVoteCount(long delayMs) throws Exception {
    electLeader(delayMs);
  }

  @Test
  void candidatesWithRoundTripsOfHalfSecondDoNotDisturbOneAnother() throws Exception {
    electLeader(250);
  }
}
