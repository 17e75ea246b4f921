package org.waxwingbeam.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ColdStartTest {
  private static final long MS = 1_000_000;
  private static final double TYPICAL = 8 * MS;

  private final ColdStart start = new ColdStart();

  @Test
  void ownerMaySendUpToColdCapacityAfterHandover() {
    start.setOwned(true, 100 * MS);

    assertThat(start.remainingCapacity(99 * MS, 2, 0)).isEqualTo(0);
    assertThat(start.remainingCapacity(100 * MS, 2, 1)).isEqualTo(1);
  }

  @Test
  void entryThatIsNotOwnerMaySendNothing() {
    start.setOwned(false, 0);

    assertThat(start.remainingCapacity(100 * MS, 2, 0)).isEqualTo(0);
  }

  @Test
  void capacityStaysReservedAfterCancellation() {
    start.setOwned(true, 0);
    start.reserveForCancelled(0);

    assertThat(start.remainingCapacity(499 * MS, 1, 0)).isEqualTo(0);
    assertThat(start.remainingCapacity(500 * MS, 1, 0)).isEqualTo(1);
  }

  @Test
  void quickResponsesInRowShowWarm() {
    long timesWarm =
        IntStream.range(0, 24).filter(each -> start.recordWhileCold(TYPICAL, TYPICAL)).count();

    assertThat(timesWarm).isEqualTo(1);
  }

  @Test
  void slowResponsesDoNotShowWarm() {
    long timesWarm =
        IntStream.range(0, 100).filter(each -> start.recordWhileCold(4 * TYPICAL, TYPICAL)).count();

    assertThat(timesWarm).isEqualTo(0);
  }

  @Test
  void responsesThatAreSlowForLongerThanOneBurstShowCold() {
    start.setCold(0, false);
    IntStream.range(0, 10)
        .forEach(each -> start.recordWhileWarm(each * 90L * MS, 6 * TYPICAL, TYPICAL));

    assertThat(start.recordWhileWarm(999 * MS, 6 * TYPICAL, TYPICAL)).isFalse();
    assertThat(start.recordWhileWarm(1_000 * MS, 6 * TYPICAL, TYPICAL)).isTrue();
  }

  @Test
  void rampRisesInFourSteps() {
    start.setCold(0, false);

    assertThat(start.rampFraction(0)).isEqualTo(0.25);
    assertThat(start.rampFraction(250 * MS)).isEqualTo(0.5);
    assertThat(start.nextRampStepNanos(250 * MS)).isEqualTo(500 * MS);
    assertThat(start.rampFraction(750 * MS)).isEqualTo(1.0);
    assertThat(start.nextRampStepNanos(750 * MS)).isEqualTo(Long.MAX_VALUE);
  }
}
