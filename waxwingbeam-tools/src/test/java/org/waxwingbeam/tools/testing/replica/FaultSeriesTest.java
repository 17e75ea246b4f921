package org.waxwingbeam.tools.testing.replica;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A core that runs and is connected has a leader in time, whatever came before. More series run
 * with {@code -Dwaxwingbeam.series=FROM..TO}.
 */
class FaultSeriesTest {
  private static final String SEEDS = System.getProperty("waxwingbeam.series", "1..25");

  private static void check(CoreFaults.Limit limit) {
    String[] ends = SEEDS.split("\\.\\.", 2);
    List<String> failures =
        LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[1]))
            .boxed()
            .flatMap(seed -> failure(seed, limit).stream())
            .toList();
    assertWithMessage("%s of seeds %s", limit, SEEDS).that(failures).isEmpty();
  }

  /** Returns how a series fails, or empty if it does not. */
  private static Optional<String> failure(long seed, CoreFaults.Limit limit) {
    try {
      new FaultSeries(seed, limit).run();
      return Optional.empty();
    } catch (RuntimeException violation) {
      return Optional.of("seed %d: %s".formatted(seed, violation));
    }
  }

  @Test
  void coreHasLeaderInTimeAfterLossesWithinTolerance() {
    check(CoreFaults.Limit.TOLERANCE);
  }

  @Test
  void coreHasLeaderInTimeAfterLossesBeyondTolerance() {
    check(CoreFaults.Limit.TWO_DISKS);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 5, 9, 12, 93})
  void replicaThatHearsTheLeaderFirstVotesInTime(long seed) {
    assertThat(failure(seed, CoreFaults.Limit.TOLERANCE)).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(longs = {201, 1184})
  void voterThatWasReplacedDuringCutFillsFreePlaceInTime(long seed) {
    assertThat(failure(seed, CoreFaults.Limit.TOLERANCE)).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(longs = {253})
  void voterThatRestartedDuringCutIsNotTakenForLeaving(long seed) {
    assertThat(failure(seed, CoreFaults.Limit.TWO_DISKS)).isEmpty();
  }
}
