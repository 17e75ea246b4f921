package org.waxwingbeam.target.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.RouteName;

/** Checks how the bytes of a route keep its requests in the data centre. */
class DataCentreAffinityTest {
  private static final RouteName LOOKUP = new RouteName("lookup");
  private static final RouteName DOWNLOAD = new RouteName("download");

  @Test
  void smallExchangesGoToAnyDataCentreAtNearlyTheSameScore() {
    DataCentreAffinity affinity = new DataCentreAffinity();
    affinity.record(LOOKUP, 500);

    assertThat(affinity.factor(LOOKUP, true)).isLessThan(1.1);
    assertThat(affinity.factor(new RouteName("unknown"), true)).isLessThan(1.1);
  }

  @Test
  void largeExchangesLeaveTheDataCentreOnlyForMuchFasterTargets() {
    DataCentreAffinity affinity = new DataCentreAffinity();
    affinity.record(DOWNLOAD, 90_000);
    affinity.record(LOOKUP, 500);

    assertThat(affinity.factor(DOWNLOAD, true)).isGreaterThan(3);
    assertThat(affinity.factor(DOWNLOAD, true)).isLessThan(5);
    assertThat(affinity.factor(LOOKUP, true)).isLessThan(1.1);
  }

  @Test
  void singleLargeExchangeDoesNotChangeTheRoute() {
    DataCentreAffinity affinity = new DataCentreAffinity();
    affinity.record(LOOKUP, 500);
    affinity.record(LOOKUP, 90_000);

    assertThat(affinity.factor(LOOKUP, true)).isLessThan(1.3);
  }
}
