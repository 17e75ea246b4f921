package org.waxwingbeam.caller.net;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.caller.RoutePolicy;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TemplateName;

class ExchangeTimeoutsTest {
  private static final long DEADLINE_MS = 1_000;
  private static final long GRACE_MS = 200;
  private static final long TRANSFER_TOTAL_MS = 5_000;

  @Test
  void responseThatHasBegunByTheDeadlineMayBeCompletedSoonAfterIt() {
    ExchangeTimeouts timeouts = timeoutsOfDrippingResponse(false, DEADLINE_MS + GRACE_MS);

    assertThat(timeouts.violation(nanos(DEADLINE_MS + GRACE_MS)))
        .isEqualTo(ExchangeTimeouts.Violation.NONE);
  }

  @Test
  void responseThatMakesProgressDoesNotOutliveTheDeadlineOfItsRoute() {
    ExchangeTimeouts timeouts = timeoutsOfDrippingResponse(false, DEADLINE_MS + GRACE_MS);

    assertThat(timeouts.violation(nanos(DEADLINE_MS + GRACE_MS + 1)))
        .isEqualTo(ExchangeTimeouts.Violation.ANSWER_TOO_LONG);
  }

  @Test
  void transferOutlivesTheDeadlineUntilItsTotalDuration() {
    ExchangeTimeouts timeouts = timeoutsOfDrippingResponse(true, TRANSFER_TOTAL_MS);

    assertThat(timeouts.violation(nanos(TRANSFER_TOTAL_MS)))
        .isEqualTo(ExchangeTimeouts.Violation.NONE);
    assertThat(timeouts.violation(nanos(TRANSFER_TOTAL_MS + 1)))
        .isEqualTo(ExchangeTimeouts.Violation.ANSWER_TOO_LONG);
  }

  @Test
  void nextLimitIsExceededWhenItIsSaidToBe() {
    for (boolean transfer : new boolean[] {false, true}) {
      ExchangeTimeouts timeouts = timeoutsOfDrippingResponse(transfer, 300);

      assertThat(timeouts.violation(timeouts.nextLimitNanos() - 1))
          .isEqualTo(ExchangeTimeouts.Violation.NONE);
      assertThat(timeouts.violation(timeouts.nextLimitNanos()))
          .isNotEqualTo(ExchangeTimeouts.Violation.NONE);
    }
  }

  private static ExchangeTimeouts timeoutsOfDrippingResponse(boolean transfer, long progressMs) {
    Parameters parameters =
        Parameters.NONE
            .with(Parameter.DEADLINE, DEADLINE_MS)
            .with(Parameter.TRANSFER_TOTAL, TRANSFER_TOTAL_MS);
    RoutePolicy policy =
        new RoutePolicy(
            new TemplateName("orders"),
            new ServiceName("orders"),
            new AccountName("alpha"),
            new RouteName("listing"),
            true,
            transfer,
            parameters);
    // The caller's deadline is earlier, but passes after the response has begun.
    RequestMetadata metadata =
        new RequestMetadata(
            OptionalLong.of(DEADLINE_MS / 2), 1, Optional.empty(), Optional.empty());
    ExchangeTimeouts timeouts = new ExchangeTimeouts(policy, metadata, 0);
    timeouts.onRequestComplete(0);
    timeouts.onResponseHead(nanos(1));
    timeouts.onProgress(nanos(progressMs));
    return timeouts;
  }

  private static long nanos(long ms) {
    return TimeUnit.MILLISECONDS.toNanos(ms);
  }
}
