package org.waxwingbeam.tools.measure.capacity;

import java.util.List;
import java.util.stream.Collectors;
import org.waxwingbeam.tools.measure.Measurement;
import org.waxwingbeam.tools.measure.MeasurementOptions;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.MeasurementReport.Limit;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;

/**
 * Measures costs at several sizes and extrapolates them to the design size.
 *
 * @since 0.1.0
 */
public final class CapacityMeasurement implements Measurement {
  private static final double MICROS_PER_S = 1e6;

  @Override
  public String name() {
    return "capacity";
  }

  @Override
  public String summary() {
    return "slopes of state, messages and processor time, and the target size";
  }

  @Override
  public MeasurementReport run(MeasurementOptions options) {
    ConfigurationCost configuration = new ConfigurationCost();
    AnnouncementCost announcements = new AnnouncementCost();
    Slope encoded = configuration.encodedBytes();
    Slope heap = configuration.heapBytes();
    Slope apply = configuration.applyMicros();
    Slope targetHeap = announcements.heapBytes();
    Slope repeatedAnnouncement = announcements.repeatedAnnouncementMicros();
    List<Slope> byServices = List.of(encoded, heap, apply);
    List<Slope> byTargets = List.of(targetHeap, repeatedAnnouncement);
    ControlPlan plan = new ControlPlan(ConfigurationCost.changeBytes());
    return new MeasurementReport(
        List.of(
            slopeTable("Slopes by services", byServices, DesignSize.SERVICES),
            slopeTable("Slopes by targets", byTargets, DesignSize.TARGETS),
            controlTable(plan)),
        bounds(plan, heap, apply));
  }

  private static Table slopeTable(String title, List<Slope> slopes, int designSize) {
    return new Table(
        title + ", and the value at " + designSize,
        List.of("cost", "measured (size: cost)", "slope", "at " + designSize),
        slopes.stream().map(slope -> row(slope, designSize)).toList());
  }

  private static List<String> row(Slope slope, int designSize) {
    String points =
        slope.points().stream()
            .map(point -> "%.0f: %s".formatted(point.size(), formatNumber(point.cost())))
            .collect(Collectors.joining(", "));
    return List.of(
        slope.costName(),
        points,
        formatNumber(slope.perUnit()),
        formatNumber(slope.costAt(designSize)));
  }

  private static Table controlTable(ControlPlan plan) {
    return new Table(
        "Control daemons at the target size",
        List.of("quantity", "value"),
        List.of(
            List.of("changes a second", formatNumber(DesignSize.CHANGES_PER_S)),
            List.of("bytes of one change", formatNumber(plan.changeBytes())),
            List.of("entry instances", formatNumber(DesignSize.ENTRIES)),
            List.of(
                "entry instances in a data centre",
                formatNumber(DesignSize.ENTRIES_PER_DATA_CENTRE)),
            List.of("leader, bytes/s", formatNumber(plan.leaderBytesPerS())),
            List.of("relay, bytes/s", formatNumber(plan.relayBytesPerS())),
            List.of(
                "leader without relays, bytes/s", formatNumber(plan.unrelayedLeaderBytesPerS())),
            List.of("control instances", formatNumber(plan.plannedInstances()))));
  }

  private static List<Bound> bounds(ControlPlan plan, Slope heap, Slope apply) {
    double coreShare = DesignSize.CHANGES_PER_S * apply.costAt(DesignSize.SERVICES) / MICROS_PER_S;
    return List.of(
        atMost(
            "control, configuration on the heap, bytes",
            heap.costAt(DesignSize.SERVICES),
            DesignSize.CONTROL_MEMORY_BYTES),
        atMost(
            "control, share of a core to apply changes", coreShare, DesignSize.CONTROL_CORE_SHARE),
        atMost("leader, bytes/s", plan.leaderBytesPerS(), DesignSize.CONTROL_BYTES_PER_S),
        atMost("relay, bytes/s", plan.relayBytesPerS(), DesignSize.CONTROL_BYTES_PER_S),
        atMost("control instances", plan.plannedInstances(), DesignSize.CONTROL_INSTANCES));
  }

  private static Bound atMost(String what, double seen, double stated) {
    return new Bound(what, seen, Limit.AT_MOST, stated);
  }

  private static String formatNumber(double value) {
    return Math.abs(value) >= 100 ? "%.0f".formatted(value) : "%.3g".formatted(value);
  }
}
