package org.waxwingbeam.tools.measure.capacity;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class SlopeTest {
  @Test
  void lineThroughThePointsIsFound() {
    Slope slope =
        Slope.fit(
            "bytes", List.of(new Slope.Point(1, 5), new Slope.Point(2, 7), new Slope.Point(4, 11)));

    assertThat(slope.perUnit()).isWithin(1e-9).of(2);
    assertThat(slope.costAt(10)).isWithin(1e-9).of(23);
  }

  @Test
  void twoPointsAreTooFew() {
    List<Slope.Point> points = List.of(new Slope.Point(1, 5), new Slope.Point(2, 7));

    var thrown = assertThrows(IllegalArgumentException.class, () -> Slope.fit("bytes", points));

    assertThat(thrown).hasMessageThat().isEqualTo("bytes: 2 points; expected at least 3");
  }
}
