package org.waxwingbeam.metrics;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import org.junit.jupiter.api.Test;

class ControlMetricsTest {
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final ControlMetrics metrics = new ControlMetrics(registry);

  private double counter(String name) {
    return registry.scrape(name::equals).stream()
        .flatMap(each -> each.getDataPoints().stream())
        .mapToDouble(each -> ((CounterSnapshot.CounterDataPointSnapshot) each).getValue())
        .sum();
  }

  private static ControlMetrics.ReplicaState state(long elections, long linksLost) {
    return new ControlMetrics.ReplicaState(1, 1, false, 1, 0, elections, linksLost);
  }

  @Test
  void countsOfTheReplicaAreTakenOver() {
    metrics.update(state(2, 3));
    metrics.update(state(5, 3));

    assertThat(counter("waxwingbeam_control_elections")).isEqualTo(5);
    assertThat(counter("waxwingbeam_control_links_lost")).isEqualTo(3);
  }

  @Test
  void refusalsForWantOfLeaderAreCountedByCause() {
    metrics.onNoLeader("voters-gone");
    metrics.onNoLeader("voters-gone");

    assertThat(counter("waxwingbeam_control_leaderless_refusals")).isEqualTo(2);
  }
}
