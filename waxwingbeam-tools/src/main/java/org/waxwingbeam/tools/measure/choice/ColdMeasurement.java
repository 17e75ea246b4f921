package org.waxwingbeam.tools.measure.choice;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.ToLongFunction;
import org.waxwingbeam.tools.measure.Measurement;
import org.waxwingbeam.tools.measure.MeasurementOptions;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.MeasurementReport.Limit;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;
import org.waxwingbeam.tools.testing.FleetShape;
import org.waxwingbeam.tools.testing.SimulatedFleet;
import org.waxwingbeam.tools.testing.SimulatedTarget;

/**
 * Measures whether cold targets ever get more work than they can carry.
 *
 * @since 0.1.0
 */
public final class ColdMeasurement implements Measurement {
  /** The way of a refusal back, its spread, and the way of what was sent meanwhile. */
  private static final double NOTICE_MS =
      3.0 * FleetShape.REMOTE_ONE_WAY_NANOS / TimeUnit.MILLISECONDS.toNanos(1);

  @Override
  public String name() {
    return "cold";
  }

  @Override
  public String summary() {
    return "work under way at cold targets through restarts, cuts and data centre changes";
  }

  @Override
  public MeasurementReport run(MeasurementOptions options) {
    List<SimulatedFleet> announced =
        runs(options, seed -> new ColdRun(FleetShape.LISTING, seed).announcedFaults());
    List<SimulatedFleet> other =
        runs(options, seed -> new ColdRun(FleetShape.CATALOGUE, seed).announcedFaults());
    List<SimulatedFleet> refusing =
        runs(options, seed -> new ColdRun(FleetShape.LISTING, seed).unannouncedFaults(true));
    List<SimulatedFleet> silent =
        runs(options, seed -> new ColdRun(FleetShape.LISTING, seed).unannouncedFaults(false));
    Table table =
        new Table(
            "cold starts (requests begun above the cold capacity; longest time to one after the"
                + " first, or after the end of earlier work, ms; p99 ms; % refused or failed)",
            List.of("faults", "above", "longest", "still cold", "p99", "refused", "failed"),
            List.of(
                row("announced, listing", announced),
                row("announced, catalogue", other),
                row("unannounced, refused", refusing),
                row("unannounced, silent", silent)));
    return new MeasurementReport(
        List.of(table),
        List.of(
            none("announced, listing: requests above the cold capacity", announced),
            none("announced, catalogue: requests above the cold capacity", other),
            none("unannounced, refused: requests begun above the cold capacity", refusing),
            new Bound(
                "unannounced, refused: time of requests above the cold capacity (ms)",
                longestMillis(refusing),
                Limit.AT_MOST,
                NOTICE_MS),
            new Bound(
                "targets that stay cold for good",
                stillCold(announced) + stillCold(other) + stillCold(refusing) + stillCold(silent),
                Limit.AT_MOST,
                0)));
  }

  private static List<SimulatedFleet> runs(
      MeasurementOptions options, LongFunction<SimulatedFleet> run) {
    return options.seeds().parallel().mapToObj(run).toList();
  }

  private static Bound none(String what, List<SimulatedFleet> fleets) {
    return new Bound(what, sum(fleets, SimulatedTarget::coldExcesses), Limit.AT_MOST, 0);
  }

  private static List<String> row(String faults, List<SimulatedFleet> fleets) {
    double total = fleets.stream().mapToLong(each -> each.record().total()).sum();
    long refused = fleets.stream().mapToLong(each -> each.record().refused()).sum();
    long failed = fleets.stream().mapToLong(each -> each.record().failures()).sum();
    double p99 =
        fleets.stream()
            .mapToDouble(each -> each.record().latencyMicros().getValueAtPercentile(99) / 1e3)
            .max()
            .orElse(0);
    return List.of(
        faults,
        Long.toString(sum(fleets, SimulatedTarget::coldExcesses)),
        "%.1f".formatted(longestMillis(fleets)),
        Long.toString(stillCold(fleets)),
        "%.1f".formatted(p99),
        "%.2f".formatted(100 * refused / total),
        "%.2f".formatted(100 * failed / total));
  }

  private static long stillCold(List<SimulatedFleet> fleets) {
    return sum(fleets, target -> target.isCold() ? 1 : 0);
  }

  private static double longestMillis(List<SimulatedFleet> fleets) {
    return fleets.stream()
        .flatMap(each -> each.targets().stream())
        .mapToDouble(each -> each.longestExcessNanos() / 1e6)
        .max()
        .orElse(0);
  }

  private static long sum(List<SimulatedFleet> fleets, ToLongFunction<SimulatedTarget> value) {
    return fleets.stream().flatMap(each -> each.targets().stream()).mapToLong(value).sum();
  }
}
