package org.waxwingbeam.daemon.routed;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.replica.LeaderAbsence.Cause;

class AbsenceLogLimitTest {
  private final AbsenceLogLimit limit = new AbsenceLogLimit();

  private boolean tryAcquire(long nowMs, Cause cause) {
    return limit.tryAcquire(TimeUnit.MILLISECONDS.toNanos(nowMs), cause);
  }

  @Test
  void sameCauseIsLoggedOncePerSecond() {
    long logged =
        LongStream.range(0, 10_000).filter(each -> tryAcquire(each, Cause.VOTERS_SILENT)).count();

    assertThat(logged).isEqualTo(10);
  }

  @Test
  void changedCauseIsLoggedBeforeTheSecondIsOver() {
    tryAcquire(0, Cause.VOTERS_SILENT);

    assertThat(tryAcquire(200, Cause.VOTERS_GONE)).isTrue();
  }

  @Test
  void alternatingCausesAreLoggedTenTimesPerSecondAtMost() {
    long logged =
        LongStream.range(0, 1_000)
            .filter(each -> tryAcquire(each, each % 2 == 0 ? Cause.RESIGNED : Cause.VOTERS_GONE))
            .count();

    assertThat(logged).isAtMost(10);
  }
}
