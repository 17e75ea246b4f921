package org.waxwingbeam.tools.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.MeasurementReport.Limit;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;

/**
 * Evaluates a run in which one data centre was taken out and brought back.
 *
 * @param outcomes the outcomes that the load command recorded
 * @param runs the runs of requests that the stand-in targets recorded
 * @param change the data centre that was taken out, with the times
 */
record DemoReport(List<CallerOutcome> outcomes, List<RecordedRun> runs, DataCentreChange change) {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MS = 1_000;
  private static final long IN_FORCE_BOUND_MS = 3_000;

  /**
   * The times at which a data centre was taken out and brought back, in milliseconds since the
   * epoch.
   *
   * @param name the data centre
   * @param outSentMs when the operator sent the command to take it out
   * @param outInForceMs when the operator received the response that this is in force everywhere
   * @param inSentMs when the operator sent the command to bring it back
   * @param inInForceMs when the operator received the response that this is in force everywhere
   */
  record DataCentreChange(
      String name, long outSentMs, long outInForceMs, long inSentMs, long inInForceMs) {}

  MeasurementReport evaluate() {
    return new MeasurementReport(
        List.of(outcomeTable(), latencyTable(), changeTable()),
        List.of(
            zeroBound(
                "requests that failed or had no complete, correct response", unexpectedOutcomes()),
            zeroBound("requests reported as not run that ran", notRunThatRan()),
            zeroBound("idempotency keys that ran more than once", keysRunMoreThanOnce()),
            zeroBound(
                "requests that started at the data centre while it was out", startedWhileOut()),
            new Bound(
                "ms until the data centre was out everywhere",
                change.outInForceMs() - change.outSentMs(),
                Limit.AT_MOST,
                IN_FORCE_BOUND_MS),
            new Bound(
                "requests that started at the data centre after its return",
                startedBetween(change.inSentMs(), Long.MAX_VALUE),
                Limit.AT_LEAST,
                1)));
  }

  private static Bound zeroBound(String what, long seen) {
    return new Bound(what, seen, Limit.AT_MOST, 0);
  }

  private Table outcomeTable() {
    Map<String, Long> counts =
        outcomes.stream()
            .collect(
                Collectors.groupingBy(
                    DemoReport::outcomeLabel, TreeMap::new, Collectors.counting()));
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("all", "" + outcomes.size()));
    counts.forEach((ending, count) -> rows.add(List.of(ending, "" + count)));
    return new Table("How requests ended", List.of("ending", "requests"), rows);
  }

  private static String outcomeLabel(CallerOutcome outcome) {
    return outcome.error().isEmpty()
        ? outcome.kind().toLowerCase(Locale.ROOT)
        : "refused: " + outcome.error();
  }

  private Table latencyTable() {
    List<List<String>> rows = new ArrayList<>();
    addPhaseRows(rows, "before", Long.MIN_VALUE, change.outSentMs());
    addPhaseRows(rows, "out", change.outSentMs(), change.inSentMs());
    addPhaseRows(rows, "back", change.inSentMs(), Long.MAX_VALUE);
    addPhaseRows(rows, "whole run", Long.MIN_VALUE, Long.MAX_VALUE);
    return new Table(
        "Latency by the target's data centre, in ms",
        List.of("phase", "data centre", "answers", "p50", "p99", "p99.9"),
        rows);
  }

  private void addPhaseRows(List<List<String>> rows, String name, long fromMs, long toMs) {
    Map<String, Histogram> byDataCentre = new TreeMap<>();
    outcomes.stream()
        .filter(each -> each.kind().equals("OK"))
        .filter(each -> each.startedMs() >= fromMs && each.startedMs() < toMs)
        .forEach(
            each -> {
              record(byDataCentre, "all", each);
              record(byDataCentre, each.dataCentre(), each);
            });
    byDataCentre.forEach((dataCentre, histogram) -> rows.add(row(name, dataCentre, histogram)));
  }

  private static void record(
      Map<String, Histogram> histograms, String name, CallerOutcome outcome) {
    histograms
        .computeIfAbsent(name, absent -> new Histogram(SIGNIFICANT_DIGITS))
        .recordValue((long) (outcome.latencyMs() * MICROS_PER_MS));
  }

  private static List<String> row(String phase, String dataCentre, Histogram histogram) {
    Function<Double, String> ms =
        percentile -> "%.1f".formatted(histogram.getValueAtPercentile(percentile) / MICROS_PER_MS);
    return List.of(
        phase,
        dataCentre,
        "" + histogram.getTotalCount(),
        ms.apply(50.0),
        ms.apply(99.0),
        ms.apply(99.9));
  }

  private Table changeTable() {
    long lastMs =
        runs.stream()
            .filter(run -> run.dataCentre().equals(change.name()))
            .filter(run -> run.startMs() < change.inSentMs())
            .mapToLong(run -> run.startMs() - change.outSentMs())
            .max()
            .orElse(0);
    return new Table(
        "Data centre %s out and back, in ms from the operator's command".formatted(change.name()),
        List.of("event", "ms"),
        List.of(
            List.of("out: in force everywhere", "" + (change.outInForceMs() - change.outSentMs())),
            List.of("out: last request that started there", "" + lastMs),
            List.of("back: in force everywhere", "" + (change.inInForceMs() - change.inSentMs()))));
  }

  private long unexpectedOutcomes() {
    Set<String> expected = Set.of("OK", "REFUSED");
    return outcomes.stream().filter(each -> !expected.contains(each.kind())).count();
  }

  private long notRunThatRan() {
    Set<String> ran = runs.stream().map(RecordedRun::token).collect(Collectors.toSet());
    return outcomes.stream()
        .filter(each -> each.run().equals("no") && ran.contains(each.token()))
        .count();
  }

  private long keysRunMoreThanOnce() {
    return runs.stream()
        .filter(run -> !run.key().isEmpty())
        .collect(Collectors.groupingBy(RecordedRun::key, Collectors.counting()))
        .values()
        .stream()
        .filter(count -> count > 1)
        .count();
  }

  private long startedWhileOut() {
    return startedBetween(change.outSentMs() + IN_FORCE_BOUND_MS, change.inSentMs());
  }

  private long startedBetween(long fromMs, long toMs) {
    return runs.stream()
        .filter(run -> run.dataCentre().equals(change.name()))
        .filter(run -> run.startMs() >= fromMs && run.startMs() < toMs)
        .count();
  }
}
