package org.waxwingbeam.daemon.routed;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.settings.Endpoint;

/** What control replicas derive from their settings. */
class ControlSettingsTest {
  @ParameterizedTest
  @CsvSource({"500,10", "1500,10", "8000,48", "60000,360"})
  void targetsArePresumedReadyForSeveralReports(long intervalMs, long seconds) {
    Endpoint endpoint = new Endpoint("127.0.0.1", 0);
    RoutedControl.Settings settings =
        new RoutedControl.Settings(
            new InstanceName("core-1"),
            endpoint,
            endpoint,
            List.of(),
            Path.of("data"),
            true,
            3,
            intervalMs,
            4_000,
            3_000);

    assertThat(settings.readyLifetimeNanos()).isEqualTo(TimeUnit.SECONDS.toNanos(seconds));
  }
}
