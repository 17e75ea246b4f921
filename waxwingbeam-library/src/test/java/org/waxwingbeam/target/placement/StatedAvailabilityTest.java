package org.waxwingbeam.target.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.target.TargetNotice;

class StatedAvailabilityTest {
  private static final long MS = 1_000_000;
  private static final long GRACE_MS = 1_000;
  private static final TargetNotice LEAVING = new TargetNotice(true, 0);

  private final StatedAvailability availability =
      new StatedAvailability(new SplittableRandom(1), GRACE_MS * MS);

  private static TargetNotice rest(long restMs) {
    return new TargetNotice(false, restMs);
  }

  @Test
  void targetThatStatesNothingIsAvailable() {
    availability.apply(0, TargetNotice.NONE);
    assertThat(availability.allowsRequests(0)).isTrue();
    assertThat(availability.allowsLastResort(0)).isTrue();
  }

  @Test
  void leavingTargetIsTheLastResortForTheGraceAndThenNothing() {
    availability.apply(0, LEAVING);
    assertThat(availability.allowsRequests(0)).isFalse();
    assertThat(availability.allowsLastResort((GRACE_MS - 1) * MS)).isTrue();
    assertThat(availability.allowsLastResort(GRACE_MS * MS)).isFalse();
  }

  @Test
  void laterNoticesNeitherTakeBackNorProlongTheLeave() {
    availability.apply(0, LEAVING);
    availability.apply(500 * MS, TargetNotice.NONE);
    availability.apply(900 * MS, LEAVING);
    assertThat(availability.allowsLastResort(GRACE_MS * MS)).isFalse();
  }

  @Test
  void restingTargetGetsNothingUntilTheStatedTimeHasPassed() {
    availability.apply(0, rest(400));
    assertThat(availability.allowsRequests(399 * MS)).isFalse();
    assertThat(availability.allowsLastResort(399 * MS)).isFalse();
    assertThat(availability.allowsRequests(480 * MS)).isTrue();
  }

  @Test
  void shorterRestDoesNotShortenAnEarlierOne() {
    availability.apply(0, rest(2_000));
    availability.apply(100 * MS, rest(10));
    assertThat(availability.allowsRequests(1_999 * MS)).isFalse();
  }

  @Test
  void hugeRestDoesNotOverflow() {
    long now = Long.MAX_VALUE - 5;
    availability.apply(now, rest(Long.MAX_VALUE));
    assertThat(availability.allowsRequests(now + 60_000 * MS)).isFalse();
  }

  @Test
  void entryInstancesReturnAtDifferentTimes() {
    long differentEnds =
        LongStream.range(0, 20)
            .map(
                seed -> {
                  StatedAvailability each = new StatedAvailability(new SplittableRandom(seed), 0);
                  each.apply(0, rest(2_000));
                  return each.restLeftNanos(0) / (10 * MS);
                })
            .distinct()
            .count();
    assertThat(differentEnds).isAtLeast(10);
  }
}
