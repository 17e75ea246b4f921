package org.waxwingbeam.tools.measure.choice;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.waxwingbeam.tools.measure.MeasurementOptions;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;

class ColdMeasurementTest {
  @Test
  void coldTargetsKeepTheirCapacityThroughRestartsCutsAndDataCentreChanges() {
    MeasurementReport report = new ColdMeasurement().run(new MeasurementOptions(true, 77, 77));

    assertThat(report.bounds().stream().filter(bound -> !bound.held()).map(Bound::what).toList())
        .isEmpty();
  }

  @Test
  void dataCentreThatIsOutGetsNoNewRequestsAndReturnsCold() {
    MeasurementReport report =
        new DataCentreMeasurement().run(new MeasurementOptions(true, 77, 77));

    assertThat(report.bounds().stream().filter(bound -> !bound.held()).map(Bound::what).toList())
        .isEmpty();
  }
}
