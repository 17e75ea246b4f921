package org.waxwingbeam.tools.measure;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.daemon.ExitCode;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.MeasurementReport.Limit;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;

class MeasureCommandTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @Test
  void missedBoundIsNamedAndFails() throws Exception {
    ExitCode code = run(2, "sample");

    assertThat(code).isEqualTo(ExitCode.FAILED);
    assertThat(out.toString(UTF_8))
        .isEqualTo(
            """
            Sample, ms
              policy  p99
              random   12

              MISSED p99, ms: seen 2, stated at most 1.100
            sample: fell short: p99, ms, seen 2, stated 1.100
            """);
  }

  @Test
  void keptBoundHolds() throws Exception {
    ExitCode code = run(1, "sample", "--format", "json");

    assertThat(code).isEqualTo(ExitCode.OK);
    assertThat(out.toString(UTF_8))
        .isEqualTo(
            "{\"name\":\"sample\",\"held\":true,\"tables\":[{\"title\":\"Sample, ms\","
                + "\"columns\":[\"policy\",\"p99\"],\"rows\":[[\"random\",\"12\"]]}],"
                + "\"bounds\":[{\"what\":\"p99, ms\",\"seen\":1.0,\"limit\":\"at most\","
                + "\"stated\":1.1,\"held\":true}]}\n");
  }

  @Test
  void valueThatIsNoNumberMissesItsBound() {
    assertThat(new Bound("p99", Double.NaN, Limit.AT_MOST, 1).held()).isFalse();
  }

  @Test
  void unknownMeasurementIsRefusedWithTheKnownOnes() throws Exception {
    assertThat(run(1, "sampel")).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(UTF_8))
        .isEqualTo("waxwingbeam measure: unknown measurement 'sampel'; expected one of sample\n");
  }

  private ExitCode run(double seen, String... arguments) throws Exception {
    MeasureCommand command = new MeasureCommand(List.of(new Sample(seen)));
    return command.run(
        List.of(arguments), new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8));
  }

  /** A measurement with one upper bound of 1.1 ms. */
  private record Sample(double seen) implements Measurement {
    @Override
    public String name() {
      return "sample";
    }

    @Override
    public String summary() {
      return "a sample";
    }

    @Override
    public MeasurementReport run(MeasurementOptions options) {
      return new MeasurementReport(
          List.of(
              new Table("Sample, ms", List.of("policy", "p99"), List.of(List.of("random", "12")))),
          List.of(new Bound("p99, ms", seen, Limit.AT_MOST, 1.1)));
    }
  }
}
