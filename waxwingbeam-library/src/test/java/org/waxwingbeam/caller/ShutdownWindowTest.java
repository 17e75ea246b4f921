package org.waxwingbeam.caller;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks which requests are accepted at each tenth of the time that a shutdown may take. */
class ShutdownWindowTest {
  private static final long GRACE_MS = 6_000;
  private static final long LISTEN_MS = 2_500;

  private static long nanos(long ms) {
    return TimeUnit.MILLISECONDS.toNanos(ms);
  }

  private static ShutdownWindow begun() {
    ShutdownWindow window = new ShutdownWindow();
    window.begin(nanos(LISTEN_MS), nanos(GRACE_MS));
    return window;
  }

  @Test
  void everyRequestIsAcceptedBeforeTheShutdown() {
    assertThat(new ShutdownWindow().admits(0, Long.MAX_VALUE / 2, false)).isTrue();
  }

  @Test
  void requestsThatMayOutliveTheProcessAreRefused() {
    IntStream.range(0, 10)
        .mapToLong(tenth -> tenth * GRACE_MS / 10)
        .forEach(
            at ->
                IntStream.of(100, 600, 1_500, 3_000, 5_900, 7_000)
                    .forEach(
                        duration ->
                            assertWithMessage("at %s ms, at most %s ms", at, duration)
                                .that(begun().admits(nanos(at), nanos(duration), false))
                                .isEqualTo(at + duration <= GRACE_MS)));
  }

  @Test
  void idempotentRequestsAreAcceptedWhileTheInstanceListens() {
    assertThat(begun().admits(nanos(LISTEN_MS - 1), nanos(GRACE_MS), true)).isTrue();
    assertThat(begun().admits(nanos(LISTEN_MS), nanos(GRACE_MS), true)).isFalse();
  }
}
