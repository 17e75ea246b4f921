package org.waxwingbeam.tools.measure.control;

import java.util.ArrayList;
import java.util.List;
import org.waxwingbeam.tools.fakes.replica.InvariantViolation;
import org.waxwingbeam.tools.fakes.replica.ReplicaRun;
import org.waxwingbeam.tools.measure.MeasurementOptions;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.MeasurementReport.Limit;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;

/** Runs every seed with three and with five replicas under random faults. */
final class FaultRuns implements ControlMeasurement.Part {
  private static final long DURATION_MS = 120_000;
  private static final long BRIEF_DURATION_MS = 60_000;
  private static final List<Integer> SIZES = List.of(3, 5);

  @Override
  public MeasurementReport run(MeasurementOptions options) {
    long durationMs = options.brief() ? BRIEF_DURATION_MS : DURATION_MS;
    List<List<String>> rows = new ArrayList<>();
    int violations = 0;
    for (int size : SIZES) {
      for (long seed : options.seeds().toArray()) {
        try {
          rows.add(row(size, seed, new ReplicaRun(seed, size).run(durationMs)));
        } catch (InvariantViolation violation) {
          violations++;
          rows.add(failedRow(size, seed, violation));
        }
      }
    }
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
            rows);
    return new MeasurementReport(
        List.of(table), List.of(new Bound("runs that broke a rule", violations, Limit.AT_MOST, 0)));
  }

  private static List<String> row(int size, long seed, ReplicaRun.Report report) {
    return List.of(
        Integer.toString(size),
        Long.toString(seed),
        Integer.toString(report.acceptedChanges()),
        Integer.toString(report.conflicts()),
        Integer.toString(report.terms()),
        Integer.toString(report.crashes()),
        Integer.toString(report.lostDisks()),
        "none");
  }

  private static List<String> failedRow(int size, long seed, InvariantViolation violation) {
    return List.of(
        Integer.toString(size),
        Long.toString(seed),
        "-",
        "-",
        "-",
        "-",
        "-",
        violation.getMessage());
  }
}
