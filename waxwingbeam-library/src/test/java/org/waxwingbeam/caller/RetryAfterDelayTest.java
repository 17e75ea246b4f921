package org.waxwingbeam.caller;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.ErrorKind;

class RetryAfterDelayTest {
  private static List<Long> choose(ErrorKind kind, long suggestedMs, Optional<Long> leftMs) {
    SplittableRandom random = new SplittableRandom(1);
    return Stream.generate(() -> RetryAfterDelay.delayMs(kind, suggestedMs, leftMs, random))
        .limit(500)
        .toList();
  }

  @Test
  void delaysAreSpreadAroundTheExpectedTime() {
    List<Long> chosen = choose(ErrorKind.OVERLOADED, 200, Optional.empty());

    assertThat(chosen.stream().mapToLong(each -> each).min().orElseThrow()).isIn(range(100, 110));
    assertThat(chosen.stream().mapToLong(each -> each).max().orElseThrow()).isIn(range(290, 300));
  }

  private static com.google.common.collect.Range<Long> range(long from, long to) {
    return com.google.common.collect.Range.closed(from, to);
  }

  @Test
  void delayIsAtMostOneThirdOfTheTimeLeft() {
    assertThat(choose(ErrorKind.NO_TARGET, 0, Optional.of(600L)).stream().distinct().toList())
        .containsExactly(200L);
  }

  @Test
  void requestThatMayHaveRunOrIsInvalidHasNoDelay() {
    assertThat(choose(ErrorKind.TARGET_LOST, 0, Optional.empty())).contains(0L);
    assertThat(choose(ErrorKind.NO_ROUTE, 0, Optional.empty())).contains(0L);
  }
}
