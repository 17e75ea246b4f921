package org.waxwingbeam.tools.measure.capacity;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.operator.Change;
import org.waxwingbeam.operator.ChangeCodec;
import org.waxwingbeam.operator.ConfigurationCodec;
import org.waxwingbeam.operator.ConfigurationEditor;
import org.waxwingbeam.operator.EditResult;

/** Measures the size of the configuration and the time of applying a change to it. */
final class ConfigurationCost {
  private static final List<Integer> SERVICES = List.of(350, 1_750, 3_500, 7_000);
  private static final int WARM_UP_CHANGES = 200;
  private static final int TIMED_CHANGES = 400;

  private final List<Configuration> samples =
      SERVICES.stream().map(SampleConfiguration::ofServices).toList();

  /** Returns the encoded size of the whole configuration, on the wire and in a snapshot. */
  Slope encodedBytes() {
    return slope(
        "configuration, encoded bytes by services",
        sample -> ConfigurationCodec.encode(sample).getSerializedSize());
  }

  /** Returns the heap of the decoded configuration. */
  Slope heapBytes() {
    return slope(
        "configuration, heap bytes by services",
        sample -> {
          int services = sample.templates().size();
          return HeapMeter.retainedBytes(() -> SampleConfiguration.ofServices(services));
        });
  }

  /** Returns the processor time of validating and applying one change. */
  Slope applyMicros() {
    return slope("change, microseconds to apply by services", ConfigurationCost::microsPerChange);
  }

  /** Returns the size of one change as it is sent to an entry instance. */
  static int changeBytes() {
    Change change = new Change.PutAccount(SampleConfiguration.account(0));
    return ChangeCodec.encode(change).getSerializedSize();
  }

  private Slope slope(String costName, ToDoubleFunction<Configuration> cost) {
    return Slope.fit(
        costName,
        samples.stream()
            .map(sample -> new Slope.Point(sample.templates().size(), cost.applyAsDouble(sample)))
            .toList());
  }

  private static double microsPerChange(Configuration sample) {
    applyChanges(sample, WARM_UP_CHANGES);
    long startNanos = System.nanoTime();
    applyChanges(sample, TIMED_CHANGES);
    long elapsedNanos = System.nanoTime() - startNanos;
    return (double) elapsedNanos / TimeUnit.MICROSECONDS.toNanos(1) / TIMED_CHANGES;
  }

  private static void applyChanges(Configuration sample, int count) {
    Configuration current = sample;
    for (int index = 0; index < count; index++) {
      Change change = new Change.PutAccount(SampleConfiguration.account(index));
      EditResult result = ConfigurationEditor.apply(current, change, index);
      current =
          switch (result) {
            case EditResult.Accepted accepted -> accepted.configuration();
            case EditResult.Refused refused ->
                throw new IllegalStateException("sample change refused: " + refused.reasons());
          };
    }
  }
}
