package org.waxwingbeam.concurrent;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A failed run of a periodic task must not end the series. */
class RepeatingTaskTest {
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void taskRunsAgainAfterItHasFailed(boolean unchecked) throws Exception {
    CountDownLatch runs = new CountDownLatch(3);
    try (ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor()) {
      var unused =
          scheduler.scheduleAtFixedRate(
              new RepeatingTask(
                  "test",
                  () -> {
                    runs.countDown();
                    if (unchecked) {
                      throw new IllegalStateException("expected by the test");
                    }
                    throw new StackOverflowError("expected by the test");
                  }),
              0,
              10,
              TimeUnit.MILLISECONDS);

      assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
      scheduler.shutdownNow();
    }
  }
}
