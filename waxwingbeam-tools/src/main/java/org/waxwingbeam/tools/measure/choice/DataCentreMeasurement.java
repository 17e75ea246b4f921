package org.waxwingbeam.tools.measure.choice;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.waxwingbeam.tools.measure.Measurement;
import org.waxwingbeam.tools.measure.MeasurementOptions;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.MeasurementReport.Limit;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;
import org.waxwingbeam.tools.testing.FleetShape;

/**
 * Measures service while a data centre is taken out under load and brought back, with an entry
 * instance cut off.
 *
 * @since 0.1.0
 */
public final class DataCentreMeasurement implements Measurement {
  private static final double LAST_REQUEST_LIMIT_MS = 3_000;

  @Override
  public String name() {
    return "datacentre";
  }

  @Override
  public String summary() {
    return "service while a data centre is taken out and brought back";
  }

  @Override
  public MeasurementReport run(MeasurementOptions options) {
    List<DataCentreRun.Result> listing = runs(options, FleetShape.LISTING);
    List<DataCentreRun.Result> catalogue = runs(options, FleetShape.CATALOGUE);
    Table table =
        new Table(
            "data centre out and back under 55% load, the worst of all seeds (last new request"
                + " there after acceptance and time to full service after return, ms; p99 ms)",
            List.of(
                "fleet",
                "last request",
                "full service",
                "p99 before",
                "p99 out",
                "p99 back",
                "refused %",
                "failed %",
                "above cold"),
            List.of(row("listing", listing), row("catalogue", catalogue)));
    return new MeasurementReport(
        List.of(table),
        List.of(
            lastRequestBound("listing", listing),
            lastRequestBound("catalogue", catalogue),
            coldExcessBound("listing", listing),
            coldExcessBound("catalogue", catalogue),
            failureBound("listing", listing),
            failureBound("catalogue", catalogue)));
  }

  private static List<DataCentreRun.Result> runs(MeasurementOptions options, FleetShape shape) {
    return options
        .seeds()
        .parallel()
        .mapToObj(seed -> new DataCentreRun(shape, seed).run())
        .toList();
  }

  private static Bound lastRequestBound(String fleet, List<DataCentreRun.Result> results) {
    return new Bound(
        fleet + ": last new request after acceptance (ms)",
        worst(results, DataCentreRun.Result::lastRequestMs),
        Limit.AT_MOST,
        LAST_REQUEST_LIMIT_MS);
  }

  private static Bound coldExcessBound(String fleet, List<DataCentreRun.Result> results) {
    return new Bound(
        fleet + ": requests above the cold capacity after the return",
        worst(results, DataCentreRun.Result::coldExcesses),
        Limit.AT_MOST,
        0);
  }

  private static Bound failureBound(String fleet, List<DataCentreRun.Result> results) {
    return new Bound(
        fleet + ": failed requests (%)",
        worst(results, DataCentreRun.Result::failedPercent),
        Limit.AT_MOST,
        0);
  }

  private static List<String> row(String fleet, List<DataCentreRun.Result> results) {
    return List.of(
        fleet,
        "%.0f".formatted(worst(results, DataCentreRun.Result::lastRequestMs)),
        "%.0f".formatted(worst(results, DataCentreRun.Result::fullServiceMs)),
        "%.1f".formatted(worst(results, DataCentreRun.Result::p99BeforeMs)),
        "%.1f".formatted(worst(results, DataCentreRun.Result::p99OutMs)),
        "%.1f".formatted(worst(results, DataCentreRun.Result::p99BackMs)),
        "%.2f".formatted(worst(results, DataCentreRun.Result::refusedPercent)),
        "%.2f".formatted(worst(results, DataCentreRun.Result::failedPercent)),
        "%.0f".formatted(worst(results, DataCentreRun.Result::coldExcesses)));
  }

  private static double worst(
      List<DataCentreRun.Result> results, ToDoubleFunction<DataCentreRun.Result> value) {
    return results.stream().mapToDouble(value).max().orElse(Double.NaN);
  }
}
