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

    assertThat(affinity.factor(LOOKUP, false)).isLessThan(1.1);
    assertThat(affinity.factor(new RouteName("unknown"), false)).isLessThan(1.1);
  }

  @Test
  void largeExchangesLeaveTheDataCentreOnlyForMuchFasterTargets() {
    DataCentreAffinity affinity = new DataCentreAffinity();
    affinity.record(DOWNLOAD, 90_000);
    affinity.record(LOOKUP, 500);

    assertThat(affinity.factor(DOWNLOAD, false)).isGreaterThan(3);
    assertThat(affinity.factor(DOWNLOAD, false)).isLessThan(5);
    assertThat(affinity.factor(LOOKUP, false)).isLessThan(1.1);
  }

  @Test
  void singleLargeExchangeDoesNotChangeTheRoute() {
    DataCentreAffinity affinity = new DataCentreAffinity();
    affinity.record(LOOKUP, 500);
    affinity.record(LOOKUP, 90_000);

    assertThat(affinity.factor(LOOKUP, false)).isLessThan(1.3);
  }
}
