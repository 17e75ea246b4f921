package org.waxwingbeam.tools.measure.choice;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.waxwingbeam.target.ChoicePolicy;
import org.waxwingbeam.tools.measure.Measurement;
import org.waxwingbeam.tools.measure.MeasurementOptions;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.MeasurementReport.Limit;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;
import org.waxwingbeam.tools.testing.FleetRecord;
import org.waxwingbeam.tools.testing.FleetShape;
import org.waxwingbeam.tools.testing.SimulatedEntry.Hedging;

/**
 * Compares the policies of target selection at several loads, with and without faults.
 *
 * @since 0.1.0
 */
public final class ChoiceMeasurement implements Measurement {
  private static final String DEFAULT_POLICY = ChoicePolicy.DEFAULT_NAME;
  private static final String HEDGED_POLICY = DEFAULT_POLICY + "+hedging";
  private static final Hedging HEDGING = new Hedging(TimeUnit.MILLISECONDS.toNanos(25), 0.05, 10);
  private static final List<Integer> LOADS_PERCENT = List.of(50, 70, 85, 95, 120);
  private static final List<Integer> BRIEF_LOADS_PERCENT = List.of(70, 85, 120);
  private static final List<ChoiceScenario> SCENARIOS = List.of(ChoiceScenario.values());
  private static final List<ChoiceScenario> BRIEF_SCENARIOS =
      List.of(ChoiceScenario.NO_FAULT, ChoiceScenario.SLOW_TARGET);
  private static final int MIN_BOUNDED_LOAD_PERCENT = 70;
  private static final long MEASURED_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final long BRIEF_MEASURED_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

  @Override
  public String name() {
    return "choice";
  }

  @Override
  public String summary() {
    return "tail latency of every policy for the choice of targets";
  }

  @Override
  public MeasurementReport run(MeasurementOptions options) {
    List<Table> tables = new ArrayList<>();
    List<Bound> bounds = new ArrayList<>();
    for (ChoiceScenario scenario : options.brief() ? BRIEF_SCENARIOS : SCENARIOS) {
      for (int load : options.brief() ? BRIEF_LOADS_PERCENT : LOADS_PERCENT) {
        Map<String, FleetRecord> records = comparePolicies(options, scenario, load);
        String title = "%s, load %d%%".formatted(scenario.title(), load);
        tables.add(table(title, records, simulatedSeconds(options)));
        if (load >= MIN_BOUNDED_LOAD_PERCENT) {
          bounds.add(bound(title + ": p99", records, each -> latencyMillis(each, 99)));
          bounds.add(bound(title + ": p99.9", records, each -> latencyMillis(each, 99.9)));
        }
      }
    }
    return new MeasurementReport(tables, bounds);
  }

  /** Runs every policy, several in parallel; each run has its own clock and targets. */
  private static Map<String, FleetRecord> comparePolicies(
      MeasurementOptions options, ChoiceScenario scenario, int load) {
    long nanos = options.brief() ? BRIEF_MEASURED_NANOS : MEASURED_NANOS;
    Map<String, ChoiceRun> runs = new LinkedHashMap<>();
    ChoicePolicy.all()
        .forEach(
            (name, policy) ->
                runs.put(
                    name,
                    new ChoiceRun(
                        FleetShape.LISTING, policy, Hedging.NONE, scenario, load, nanos)));
    ChoicePolicy defaultPolicy = ChoicePolicy.named(DEFAULT_POLICY).orElseThrow();
    runs.put(
        HEDGED_POLICY,
        new ChoiceRun(FleetShape.LISTING, defaultPolicy, HEDGING, scenario, load, nanos));
    Map<String, FleetRecord> unorderedRecords = new ConcurrentHashMap<>();
    runs.entrySet().parallelStream()
        .forEach(each -> unorderedRecords.put(each.getKey(), each.getValue().run(options.seeds())));
    Map<String, FleetRecord> records = new LinkedHashMap<>();
    runs.keySet().forEach(name -> records.put(name, unorderedRecords.get(name)));
    return records;
  }

  private static double simulatedSeconds(MeasurementOptions options) {
    long nanos = options.brief() ? BRIEF_MEASURED_NANOS : MEASURED_NANOS;
    long perSeed = nanos + ChoiceRun.COMPLETION_NANOS;
    return options.seeds().count() * (double) perSeed / TimeUnit.SECONDS.toNanos(1);
  }

  private static Table table(String title, Map<String, FleetRecord> records, double seconds) {
    List<List<String>> rows =
        records.entrySet().stream()
            .map(each -> row(each.getKey(), each.getValue(), seconds))
            .toList();
    return new Table(
        title + " (ms; refused and failed in % of requests; probes in ms of target time a second)",
        List.of("policy", "p50", "p99", "p99.9", "refused", "failed", "probes", "most/mean"),
        rows);
  }

  private static List<String> row(String policy, FleetRecord record, double seconds) {
    return List.of(
        policy,
        "%.1f".formatted(latencyMillis(record, 50)),
        "%.1f".formatted(latencyMillis(record, 99)),
        "%.1f".formatted(latencyMillis(record, 99.9)),
        "%.2f".formatted(100.0 * record.refused() / record.total()),
        "%.2f".formatted(100.0 * record.failures() / record.total()),
        "%.1f".formatted(record.probeServiceNanos() / 1e6 / seconds),
        "%.2f".formatted(record.imbalance()));
  }

  private static Bound bound(
      String what, Map<String, FleetRecord> records, ToDoubleFunction<FleetRecord> value) {
    double best =
        records.entrySet().stream()
            .filter(each -> !isDefaultPolicy(each.getKey()))
            .mapToDouble(each -> value.applyAsDouble(each.getValue()))
            .min()
            .orElseThrow();
    double seen = value.applyAsDouble(records.get(DEFAULT_POLICY));
    return new Bound(what + " of " + DEFAULT_POLICY + " (ms)", seen, Limit.AT_MOST, best);
  }

  private static boolean isDefaultPolicy(String policy) {
    return policy.startsWith(DEFAULT_POLICY);
  }

  private static double latencyMillis(FleetRecord record, double percentile) {
    return record.latencyMicros().getValueAtPercentile(percentile) / 1e3;
  }
}
