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
 * Measures whether cold targets get more concurrent requests than their cold capacity.
 *
 * @since 0.1.0
 */
public final class ColdMeasurement implements Measurement {
  /**
   * Three one-way delays: of the refusal, of its distribution to the other entry instances, and of
   * the requests that were sent meanwhile.
   */
  private static final double MAX_EXCESS_MS =
      3.0 * FleetShape.REMOTE_ONE_WAY_NANOS / TimeUnit.MILLISECONDS.toNanos(1);

  @Override
  public String name() {
    return "cold";
  }

  @Override
  public String summary() {
    return "outstanding requests at cold targets through restarts, cuts and data centre changes";
  }

  @Override
  public MeasurementReport run(MeasurementOptions options) {
    List<SimulatedFleet> announcedListing =
        runs(options, seed -> new ColdRun(FleetShape.LISTING, seed).runAnnouncedFaults());
    List<SimulatedFleet> announcedCatalogue =
        runs(options, seed -> new ColdRun(FleetShape.CATALOGUE, seed).runAnnouncedFaults());
    List<SimulatedFleet> unannouncedRefused =
        runs(options, seed -> new ColdRun(FleetShape.LISTING, seed).runUnannouncedFaults(true));
    List<SimulatedFleet> unannouncedSilent =
        runs(options, seed -> new ColdRun(FleetShape.LISTING, seed).runUnannouncedFaults(false));
    Table table =
        new Table(
            "cold starts (requests begun above the cold capacity; longest time to one after the"
                + " first, or after the end of earlier work, ms; p99 ms; % refused or failed)",
            List.of("faults", "above", "longest", "still cold", "p99", "refused", "failed"),
            List.of(
                row("announced, listing", announcedListing),
                row("announced, catalogue", announcedCatalogue),
                row("unannounced, refused", unannouncedRefused),
                row("unannounced, silent", unannouncedSilent)));
    return new MeasurementReport(
        List.of(table),
        List.of(
            zeroExcessBound(
                "announced, listing: requests above the cold capacity", announcedListing),
            zeroExcessBound(
                "announced, catalogue: requests above the cold capacity", announcedCatalogue),
            zeroExcessBound(
                "unannounced, refused: requests begun above the cold capacity", unannouncedRefused),
            new Bound(
                "unannounced, refused: time of requests above the cold capacity (ms)",
                longestExcessMillis(unannouncedRefused),
                Limit.AT_MOST,
                MAX_EXCESS_MS),
            new Bound(
                "targets that stay cold for good",
                coldTargetCount(announcedListing)
                    + coldTargetCount(announcedCatalogue)
                    + coldTargetCount(unannouncedRefused)
                    + coldTargetCount(unannouncedSilent),
                Limit.AT_MOST,
                0)));
  }

  private static List<SimulatedFleet> runs(
      MeasurementOptions options, LongFunction<SimulatedFleet> run) {
    return options.seeds().parallel().mapToObj(run).toList();
  }

  private static Bound zeroExcessBound(String what, List<SimulatedFleet> fleets) {
    return new Bound(
        what, sumOverTargets(fleets, SimulatedTarget::startsAboveColdCapacity), Limit.AT_MOST, 0);
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
        Long.toString(sumOverTargets(fleets, SimulatedTarget::startsAboveColdCapacity)),
        "%.1f".formatted(longestExcessMillis(fleets)),
        Long.toString(coldTargetCount(fleets)),
        "%.1f".formatted(p99),
        "%.2f".formatted(100 * refused / total),
        "%.2f".formatted(100 * failed / total));
  }

  private static long coldTargetCount(List<SimulatedFleet> fleets) {
    return sumOverTargets(fleets, target -> target.isCold() ? 1 : 0);
  }

  private static double longestExcessMillis(List<SimulatedFleet> fleets) {
    return fleets.stream()
        .flatMap(each -> each.targets().stream())
        .mapToDouble(each -> each.longestExcessNanos() / 1e6)
        .max()
        .orElse(0);
  }

  private static long sumOverTargets(
      List<SimulatedFleet> fleets, ToLongFunction<SimulatedTarget> value) {
    return fleets.stream().flatMap(each -> each.targets().stream()).mapToLong(value).sum();
  }
}
