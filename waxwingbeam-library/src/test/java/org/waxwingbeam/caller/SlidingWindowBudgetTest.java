package org.waxwingbeam.caller;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SlidingWindowBudgetTest {
  private static final long WINDOW = TimeUnit.SECONDS.toNanos(10);
  private static final SlidingWindowBudget.Limits LIMITS =
      new SlidingWindowBudget.Limits(0.2, 60, WINDOW);

  @Test
  void fixedPartIsDividedAmongEntryInstances() {
    SlidingWindowBudget budget = new SlidingWindowBudget(LIMITS, () -> 15);

    assertThat(budget.tryAcquire(0)).isTrue();
    assertThat(budget.tryAcquire(0)).isTrue();
    assertThat(budget.tryAcquire(0)).isTrue();
    assertThat(budget.tryAcquire(0)).isFalse();
    assertThat(budget.tryAcquire(WINDOW + 1)).isTrue();
  }

  /** Incident inc-e839: 7 to 21 hedges in 10 s left nothing for requests that had failed. */
  @Test
  void hedgesLeaveRetriesForFailedAttempts() {
    SlidingWindowBudget budget = new SlidingWindowBudget(LIMITS, () -> 15);
    for (int i = 0; i < 100; i++) {
      budget.onRequest(i * 1_000_000L);
    }
    long now = 100_000_000L;
    int hedges = 0;
    while (budget.tryAcquireHedge(now)) {
      hedges++;
    }
    int retries = 0;
    while (budget.tryAcquire(now)) {
      retries++;
    }

    assertThat(hedges).isAtLeast(10);
    assertThat(retries).isAtLeast(5);
    assertThat(hedges + retries).isAtMost(24);
    assertThat(budget.tryAcquireHedge(now)).isFalse();
  }

  @Test
  void retriesOfTheWholeFleetStayWithinTheBudgetInEveryWindow() {
    int fleet = 15;
    SplittableRandom random = new SplittableRandom(11);
    List<SlidingWindowBudget> budgets = new ArrayList<>();
    for (int i = 0; i < fleet; i++) {
      budgets.add(new SlidingWindowBudget(LIMITS, () -> fleet));
    }
    List<Long> requests = new ArrayList<>();
    List<Long> retries = new ArrayList<>();
    long now = -TimeUnit.SECONDS.toNanos(3);
    for (int i = 0; i < 20_000; i++) {
      // The load changes by a factor of twenty every few seconds.
      now += (i / 3_000) % 2 == 0 ? 500_000 : 10_000_000;
      SlidingWindowBudget budget = budgets.get(random.nextInt(fleet));
      budget.onRequest(now);
      requests.add(now);
      if (budget.tryAcquire(now)) {
        retries.add(now);
      }
    }
    for (long end = WINDOW; end < now; end += WINDOW / 7) {
      long allowed = (long) (0.2 * mostRequests(requests, end)) + 60;
      assertThat(count(retries, end - WINDOW, end)).isAtMost(allowed);
    }
  }

  /** Returns the greatest number of requests in the window, in the one before it and in between. */
  private static long mostRequests(List<Long> requests, long end) {
    return Math.max(
        count(requests, end - WINDOW, end),
        Math.max(
            count(requests, end - 2 * WINDOW, end - WINDOW),
            count(requests, end - WINDOW * 3 / 2, end - WINDOW / 2)));
  }

  private static long count(List<Long> times, long from, long to) {
    return times.stream().filter(each -> each >= from && each < to).count();
  }
}
