package org.waxwingbeam.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.waxwingbeam.wire.operator.ChangeAnswer;

/**
 * Metrics of a control replica.
 *
 * @since 0.1.0
 */
public final class ControlMetrics {
  private final Counter changes;
  private final Counter leaderlessRefusals;
  private final Counter elections;
  private final Counter linksLost;
  private final Gauge term;
  private final Gauge appliedIndex;
  private final Gauge leads;
  private final Gauge configurationNumber;
  private final Gauge entries;

  /**
   * Registers the metrics.
   *
   * @param registry the registry that exposes them
   */
  public ControlMetrics(PrometheusRegistry registry) {
    changes =
        Counter.builder()
            .name("waxwingbeam_control_changes_total")
            .help("Changes that operators sent, by result")
            .labelNames("result")
            .register(registry);
    leaderlessRefusals =
        Counter.builder()
            .name("waxwingbeam_control_leaderless_refusals_total")
            .help("Changes refused because no leader was known, by cause")
            .labelNames("cause")
            .register(registry);
    elections = counter(registry, "elections", "Elections that the replica has started");
    linksLost = counter(registry, "links_lost", "Connections to other replicas that were closed");
    term = gauge(registry, "term", "Newest term that the replica knows");
    appliedIndex = gauge(registry, "applied_index", "Last index of the log that was applied");
    leads = gauge(registry, "leads", "1 while the replica leads and may answer, else 0");
    configurationNumber =
        gauge(registry, "configuration_number", "Number of the newest accepted configuration");
    entries = gauge(registry, "entries", "Entry instances that are connected");
  }

  private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
    return Gauge.builder().name("waxwingbeam_control_" + name).help(help).register(registry);
  }

  private static Counter counter(PrometheusRegistry registry, String name, String help) {
    return Counter.builder()
        .name("waxwingbeam_control_%s_total".formatted(name))
        .help(help)
        .register(registry);
  }

  /** Counts the result of an operator's change. */
  public void onChangeResult(ChangeAnswer.Result result) {
    changes.labelValues(result.name().toLowerCase(Locale.ROOT)).inc();
  }

  /** Counts a change that was sent to a replica that is not the leader. */
  public void onNotLeader() {
    changes.labelValues("not_leader").inc();
  }

  /**
   * Counts a change that was refused because no leader was known.
   *
   * @param cause the name of the likely cause
   */
  public void onNoLeader(String cause) {
    leaderlessRefusals.labelValues(cause).inc();
  }

  /**
   * Sets the gauges and counters to the current state of the replica.
   *
   * @param state the state
   */
  public void update(ReplicaState state) {
    term.set((double) state.term());
    appliedIndex.set((double) state.appliedIndex());
    leads.set(state.leads() ? 1 : 0);
    configurationNumber.set((double) state.configurationNumber());
    entries.set(state.entries());
    elections.inc(state.elections() - elections.get());
    linksLost.inc(state.linksLost() - linksLost.get());
  }

  /**
   * The current state of a replica.
   *
   * @param term the latest term that it knows
   * @param appliedIndex the last log index that it has applied
   * @param leads whether it is the leader and may serve requests
   * @param configurationNumber the number of its latest configuration
   * @param entries number of entry instances that are connected to it
   * @param elections number of elections it has started; never decreases
   * @param linksLost number of its connections to other replicas that were closed; never decreases
   */
  public record ReplicaState(
      long term,
      long appliedIndex,
      boolean leads,
      long configurationNumber,
      int entries,
      long elections,
      long linksLost) {}
}
