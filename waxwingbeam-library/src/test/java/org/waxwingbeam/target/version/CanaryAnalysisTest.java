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

/** Checks what counts as evidence against a version. */
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
  private final CanaryAnalysis judge = new CanaryAnalysis(MOVE, 0);
  private final Map<SampleKey, Long> ran = new HashMap<>();
  private final Map<SampleKey, Long> failed = new HashMap<>();
  private final Map<SampleKey, LatencyCounts> latencies = new HashMap<>();

  @Test
  void sameVersionRaisesNoAlarm() {
    assertThat(play(TICKS, () -> addBoth(0, 1))).isEmpty();
  }

  @Test
  void failingVersionIsFoundWithinTwoSeconds() {
    assertThat(play(8, () -> addBoth(0.5, 1)))
        .hasValue("fails more often than the old version: all routes");
  }

  @Test
  void slowVersionIsFoundWithinFiveSeconds() {
    assertThat(play(20, () -> addBoth(0, 5)))
        .hasValue("answers more slowly than the old version: all routes");
  }

  @Test
  void oneSlowMachineIsNotSlowVersion() {
    assertThat(
            play(
                TICKS,
                () -> {
                  add(LIST, false, 0, 100, 0.001, 1);
                  add(LIST, true, 1, 6, 0.001, 1);
                  add(LIST, true, 2, 6, 0.001, 6);
                }))
        .isEmpty();
  }

  @Test
  void oneCrashedMachineIsNotFailingVersion() {
    assertThat(
            play(
                TICKS,
                () -> {
                  addBoth(0, 1);
                  if (ran.getOrDefault(key(LIST, true, 1), 0L) == 60) {
                    add(LIST, true, 1, 4, 1, 1);
                  }
                }))
        .isEmpty();
  }

  @Test
  void failuresThatBothVersionsShareAreNoEvidence() {
    assertThat(
            play(
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
  void faultOnOneRareRouteIsFoundAndNamed() {
    assertThat(
            play(
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

  private Optional<String> play(int ticks, Runnable tick) {
    for (int count = 0; count < ticks; count++) {
      tick.run();
      Map<SampleKey, SampleCounts> counts = new HashMap<>();
      ran.forEach(
          (key, total) ->
              counts.put(
                  key,
                  new SampleCounts(
                      total, failed.getOrDefault(key, 0L), latencies.get(key).copy())));
      judge.observe(new SampleReport(new InstanceName("entry-1"), MOVE.service(), 0, counts, ""));
      Optional<String> alarm = judge.tick(true);
      if (alarm.isPresent()) {
        return alarm;
      }
    }
    return Optional.empty();
  }

  private static SampleKey key(RouteName route, boolean fresh, int cell) {
    return new SampleKey(route, fresh, LoadLevel.BUSY, cell);
  }

  private void add(
      RouteName route, boolean fresh, int cell, int count, double failureRate, double slower) {
    SampleKey key = key(route, fresh, cell);
    LatencyCounts counts = latencies.computeIfAbsent(key, absent -> new LatencyCounts());
    ran.merge(key, (long) count, Long::sum);
    for (int index = 0; index < count; index++) {
      if (random.nextDouble() < failureRate) {
        failed.merge(key, 1L, Long::sum);
      } else {
        counts.record((long) (random.nextExponential() * MEAN_NANOS * slower));
      }
    }
  }
}
