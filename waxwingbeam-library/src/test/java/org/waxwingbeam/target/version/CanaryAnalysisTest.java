package org.waxwingbeam.target.version;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.model.VersionName;

/** Tests which faults of a new version raise an alarm, and which differences do not. */
class CanaryAnalysisTest {
  private static final RouteName LIST = new RouteName("list");
  private static final RouteName LABEL = new RouteName("label");
  private static final long MEAN_NANOS = 20_000_000;
  private static final int TICKS = 240;
  private static final VersionMove MOVE =
      new VersionMove(
          new ServiceName("catalogue"),
          new VersionName("v1"),
          new VersionName("v2"),
          0,
          TICKS * CanaryAnalysis.TICK_MS,
          50,
          VersionMove.State.RUNNING,
          "");

  private final SplittableRandom random = new SplittableRandom(11);
  private final CanaryAnalysis analysis = new CanaryAnalysis(MOVE, 0);
  private final Map<SampleKey, Long> completed = new HashMap<>();
  private final Map<SampleKey, Long> failed = new HashMap<>();
  private final Map<SampleKey, LatencyCounts> latencies = new HashMap<>();

  @Test
  void sameVersionRaisesNoAlarm() {
    assertThat(evaluate(TICKS, () -> addBoth(0, 1))).isEmpty();
  }

  @Test
  void failingVersionIsDetectedWithinTwoSeconds() {
    assertThat(evaluate(8, () -> addBoth(0.5, 1)))
        .hasValue("fails more often than the old version: all routes");
  }

  @Test
  void slowVersionIsDetectedWithinFiveSeconds() {
    assertThat(evaluate(20, () -> addBoth(0, 5)))
        .hasValue("answers more slowly than the old version: all routes");
  }

  @Test
  void oneSlowMachineRaisesNoAlarm() {
    assertThat(
            evaluate(
                TICKS,
                () -> {
                  add(LIST, false, 0, 100, 0.001, 1);
                  add(LIST, true, 1, 6, 0.001, 1);
                  add(LIST, true, 2, 6, 0.001, 6);
                }))
        .isEmpty();
  }

  @Test
  void oneCrashedMachineRaisesNoAlarm() {
    assertThat(
            evaluate(
                TICKS,
                () -> {
                  addBoth(0, 1);
                  if (completed.getOrDefault(key(LIST, true, 1), 0L) == 60) {
                    add(LIST, true, 1, 4, 1, 1);
                  }
                }))
        .isEmpty();
  }

  @Test
  void failuresOfBothVersionsRaiseNoAlarm() {
    assertThat(
            evaluate(
                TICKS,
                () -> {
                  double rate = random.nextInt(20) == 0 ? 0.5 : 0.001;
                  add(LIST, false, 0, 100, rate, 1);
                  add(LIST, true, 1, 6, rate, 1);
                  add(LIST, true, 2, 6, rate, 1);
                }))
        .isEmpty();
  }

  @Test
  void faultOnOneRareRouteIsDetectedWithItsRoute() {
    assertThat(
            evaluate(
                12,
                () -> {
                  addBoth(0, 1);
                  add(LABEL, false, 0, 2, 0, 1);
                  add(LABEL, true, 1, 1, 1, 1);
                }))
        .hasValue("fails more often than the old version: route label");
  }

  private void addBoth(double extraFailures, double slower) {
    add(LIST, false, 0, 100, 0.001, 1);
    add(LIST, true, 1, 6, 0.001 + extraFailures, slower);
    add(LIST, true, 2, 6, 0.001 + extraFailures, slower);
  }

  private Optional<String> evaluate(int ticks, Runnable tick) {
    for (int count = 0; count < ticks; count++) {
      tick.run();
      Map<SampleKey, SampleCounts> counts = new HashMap<>();
      completed.forEach(
          (key, total) ->
              counts.put(
                  key,
                  new SampleCounts(
                      total, failed.getOrDefault(key, 0L), latencies.get(key).copy())));
      analysis.addReport(
          new SampleReport(new InstanceName("entry-1"), MOVE.service(), 0, counts, ""));
      Optional<String> alarm = analysis.tick(true);
      if (alarm.isPresent()) {
        return alarm;
      }
    }
    return Optional.empty();
  }

  private static SampleKey key(RouteName route, boolean newVersion, int targetGroup) {
    return new SampleKey(route, newVersion, LoadLevel.BUSY, targetGroup);
  }

  private void add(
      RouteName route,
      boolean newVersion,
      int targetGroup,
      int count,
      double failureRate,
      double slower) {
    SampleKey key = key(route, newVersion, targetGroup);
    LatencyCounts counts = latencies.computeIfAbsent(key, absent -> new LatencyCounts());
    completed.merge(key, (long) count, Long::sum);
    for (int index = 0; index < count; index++) {
      if (random.nextDouble() < failureRate) {
        failed.merge(key, 1L, Long::sum);
      } else {
        counts.record((long) (random.nextExponential() * MEAN_NANOS * slower));
      }
    }
  }
}
