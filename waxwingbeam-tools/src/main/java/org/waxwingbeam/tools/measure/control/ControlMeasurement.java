package org.waxwingbeam.tools.measure.control;

import java.util.ArrayList;
import java.util.List;
import org.waxwingbeam.tools.measure.Measurement;
import org.waxwingbeam.tools.measure.MeasurementOptions;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;

/**
 * Measures the control replicas: seeded runs under faults, restarts and message sizes.
 *
 * @since 0.1.0
 */
public final class ControlMeasurement implements Measurement {
  @Override
  public String name() {
    return "control";
  }

  @Override
  public String summary() {
    return "accepted state: faults, restarts, sizes of messages";
  }

  @Override
  public MeasurementReport run(MeasurementOptions options) throws Exception {
    List<Table> tables = new ArrayList<>();
    List<Bound> bounds = new ArrayList<>();
    for (Part part : List.of(new FaultRuns(), new Restarts(), new MessageSizes())) {
      MeasurementReport report = part.run(options);
      tables.addAll(report.tables());
      bounds.addAll(report.bounds());
    }
    return new MeasurementReport(tables, bounds);
  }

  /** One part of the measurement. */
  interface Part {
    MeasurementReport run(MeasurementOptions options) throws Exception;
  }
}
