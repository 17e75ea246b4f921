package org.waxwingbeam.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ColdStartTest {
  private static final long MS = 1_000_000;
  private static final double TYPICAL = 8 * MS;

  private final ColdStart start = new ColdStart();

  @Test
  void ownerWaitsForTheHandoverAndThenKeepsTheColdCapacity() {
    start.setOwned(true, 100 * MS);

    assertThat(start.free(99 * MS, 2, 0)).isEqualTo(0);
    assertThat(start.free(100 * MS, 2, 1)).isEqualTo(1);
  }

  @Test
  void otherEntriesHaveNoPlace() {
    start.setOwned(false, 0);

    assertThat(start.free(100 * MS, 2, 0)).isEqualTo(0);
  }

  @Test
  void cancelledRequestKeepsItsPlaceForTheGrace() {
    start.setOwned(true, 0);
    start.occupy(0);

    assertThat(start.free(499 * MS, 1, 0)).isEqualTo(0);
    assertThat(start.free(500 * MS, 1, 0)).isEqualTo(1);
  }

  @Test
  void quickResponsesInRowShowWarm() {
    long shown = IntStream.range(0, 24).filter(each -> start.showsWarm(TYPICAL, TYPICAL)).count();

    assertThat(shown).isEqualTo(1);
  }

  @Test
  void slowResponsesDoNotShowWarm() {
    long shown =
        IntStream.range(0, 100).filter(each -> start.showsWarm(4 * TYPICAL, TYPICAL)).count();

    assertThat(shown).isEqualTo(0);
  }

  @Test
  void responsesThatAreSlowForLongerThanOneBurstShowCold() {
    start.setCold(0, false);
    IntStream.range(0, 10).forEach(each -> start.showsCold(each * 90L * MS, 6 * TYPICAL, TYPICAL));

    assertThat(start.showsCold(999 * MS, 6 * TYPICAL, TYPICAL)).isFalse();
    assertThat(start.showsCold(1_000 * MS, 6 * TYPICAL, TYPICAL)).isTrue();
  }

  @Test
  void rampRisesInFourSteps() {
    start.setCold(0, false);

    assertThat(start.ramp(0)).isEqualTo(0.25);
    assertThat(start.ramp(250 * MS)).isEqualTo(0.5);
    assertThat(start.nextStepNanos(250 * MS)).isEqualTo(500 * MS);
    assertThat(start.ramp(750 * MS)).isEqualTo(1.0);
    assertThat(start.nextStepNanos(750 * MS)).isEqualTo(Long.MAX_VALUE);
  }
}
