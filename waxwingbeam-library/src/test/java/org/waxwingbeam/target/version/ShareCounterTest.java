package org.waxwingbeam.target.version;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.RouteName;

/** Tests the share of requests that several entry instances assign to the new version together. */
class ShareCounterTest {
  private static final RouteName LIST = new RouteName("list");
  private static final RouteName RARE = new RouteName("rare");
  private static final int ENTRIES = 16;

  @Test
  void newVersionGetsItsShareFromSixteenEntryInstancesWithTenRequestsEach() {
    List<ShareCounter> counters = counters();
    long newRequests = 0;
    for (int request = 0; request < 160; request++) {
      newRequests += counters.get(request % ENTRIES).next(LIST, 100, false) ? 1 : 0;
    }
    assertThat(newRequests).isEqualTo(16);
  }

  @Test
  void rareRouteDoesNotRaiseTheShareOfAllRequests() {
    List<ShareCounter> counters = counters();
    SplittableRandom random = new SplittableRandom(7);
    long newRequests = 0;
    long newRare = 0;
    long rare = 0;
    for (int request = 1; request <= 50_000; request++) {
      boolean isRare = random.nextInt(100) == 0;
      ShareCounter counter = counters.get(random.nextInt(ENTRIES));
      boolean chosen = counter.next(isRare ? RARE : LIST, 50, true);
      rare += isRare ? 1 : 0;
      newRequests += chosen ? 1 : 0;
      newRare += chosen && isRare ? 1 : 0;
      assertThat((double) newRequests).isAtMost(0.05 * request + ENTRIES);
    }
    assertThat((double) newRequests).isWithin(40).of(2_500);
    assertThat((double) newRare / rare).isWithin(0.08).of(0.4);
  }

  private static List<ShareCounter> counters() {
    return IntStream.range(0, ENTRIES)
        .mapToObj(entry -> new ShareCounter((entry + 0.5) / ENTRIES))
        .toList();
  }
}
