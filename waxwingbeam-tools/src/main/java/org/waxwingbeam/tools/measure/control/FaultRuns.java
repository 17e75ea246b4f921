package org.waxwingbeam.tools.measure.control;

import java.util.List;
import org.waxwingbeam.tools.measure.MeasurementOptions;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.MeasurementReport.Limit;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;
import org.waxwingbeam.tools.testing.replica.InvariantViolation;
import org.waxwingbeam.tools.testing.replica.ReplicaRun;

/** Runs every seed with three and with five simulated replicas under random faults. */
final class FaultRuns implements ControlMeasurement.Part {
  private static final long DURATION_MS = 120_000;
  private static final long BRIEF_DURATION_MS = 60_000;
  private static final List<Integer> REPLICA_COUNTS = List.of(3, 5);

  @Override
  public MeasurementReport run(MeasurementOptions options) {
    long durationMs = options.brief() ? BRIEF_DURATION_MS : DURATION_MS;
    List<Row> rows =
        REPLICA_COUNTS.stream().flatMap(size -> rows(options, size, durationMs).stream()).toList();
    long violations = rows.stream().filter(Row::violated).count();
    Table table =
        new Table(
            "Runs under faults, %d s simulated each".formatted(durationMs / 1_000),
            List.of(
                "replicas",
                "seed",
                "accepted",
                "conflicts",
                "terms",
                "crashes",
                "disks lost",
                "violation"),
            rows.stream().map(Row::cells).toList());
    return new MeasurementReport(
        List.of(table), List.of(new Bound("runs that broke a rule", violations, Limit.AT_MOST, 0)));
  }

  /** Runs every seed, several in parallel; each run has its own clock, network and disks. */
  private static List<Row> rows(MeasurementOptions options, int replicas, long durationMs) {
    return options
        .seeds()
        .parallel()
        .mapToObj(seed -> runOnce(replicas, seed, durationMs))
        .toList();
  }

  private static Row runOnce(int replicas, long seed, long durationMs) {
    try {
      return new Row(cells(replicas, seed, new ReplicaRun(seed, replicas).run(durationMs)), false);
    } catch (InvariantViolation violation) {
      return new Row(violationCells(replicas, seed, violation), true);
    }
  }

  private static List<String> cells(int replicas, long seed, ReplicaRun.Report report) {
    return List.of(
        Integer.toString(replicas),
        Long.toString(seed),
        Integer.toString(report.acceptedChanges()),
        Integer.toString(report.conflicts()),
        Integer.toString(report.terms()),
        Integer.toString(report.crashes()),
        Integer.toString(report.lostDisks()),
        "none");
  }

  private static List<String> violationCells(
      int replicas, long seed, InvariantViolation violation) {
    return List.of(
        Integer.toString(replicas),
        Long.toString(seed),
        "-",
        "-",
        "-",
        "-",
        "-",
        violation.getMessage());
  }

  /**
   * The result of one run.
   *
   * @param cells the cells of its table row
   * @param violated whether it violated an invariant
   */
  private record Row(List<String> cells, boolean violated) {}
}
