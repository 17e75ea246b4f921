package org.waxwingbeam.target.version;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.model.VersionMove.State;
import org.waxwingbeam.model.VersionName;

/** Tests when the share of a move rises, and that a move ends by its deadline. */
class MoveSupervisorTest {
  private static final long DEADLINE_MS = 100_000;
  private static final MoveParameters PARAMETERS = new MoveParameters(50, 10_000, false);
  private static final RouteName LIST = new RouteName("list");
  private static final RouteName LABEL = new RouteName("label");

  private VersionMove move = move(0, State.RUNNING);
  private MoveSupervisor supervisor = new MoveSupervisor(move, PARAMETERS, 0);
  private long newRequests;

  @Test
  void goodVersionKeepsUnprovenShareUntilTheRampAndThenFinishes() {
    runUntil(69_000, true);
    assertThat(move.sharePerMille()).isEqualTo(50);
    runUntil(90_000, true);
    assertThat(move.state()).isEqualTo(State.SOAKING);
    runUntil(DEADLINE_MS, true);
    assertThat(move.state()).isEqualTo(State.FINISHED);
  }

  @Test
  void versionThatHasNotServedOneRouteIsRolledBackAtTheDeadline() {
    runUntil(30_000, false);
    assertThat(supervisor.deadlineRisk(30_000))
        .hasValue(
            "route label: 0 of 30 requests seen, about 0 expected before the share must rise");
    runUntil(DEADLINE_MS + 500, false);
    assertThat(move.state()).isEqualTo(State.ROLLED_BACK);
    assertThat(move.reason()).isEqualTo("the deadline has come: route label has 0 of 30 requests");
  }

  @Test
  void newLeaderContinuesFromTheAcceptedMoveAndTheTotals() {
    runUntil(75_000, true);
    supervisor = new MoveSupervisor(move, PARAMETERS, 75_000);
    runUntil(DEADLINE_MS - 2_000, true);
    assertThat(move.state()).isEqualTo(State.SOAKING);
  }

  @Test
  void shareDoesNotRiseWhileMostEntryInstancesDoNotReport() {
    runUntil(50_000, true);
    long now = 50_000;
    while (now < DEADLINE_MS - CanaryAnalysis.TICK_MS) {
      now += CanaryAnalysis.TICK_MS;
      apply(supervisor.tick(now, move, 16));
    }
    assertThat(move.sharePerMille()).isEqualTo(50);
    apply(supervisor.tick(DEADLINE_MS, move, 16));
    assertThat(move.state()).isEqualTo(State.ROLLED_BACK);
  }

  @Test
  void stopAtOneEntryInstanceRollsTheMoveBack() {
    runUntil(20_000, true);
    supervisor.addReport(
        20_000, new SampleReport(new InstanceName("entry-1"), move.service(), 0, Map.of(), "bad"));
    apply(supervisor.tick(20_250, move, 1));
    assertThat(move.reason()).isEqualTo("the new version bad: entry-1");
  }

  private long nowMs;

  private void runUntil(long endMs, boolean servesLabel) {
    while (nowMs < endMs) {
      nowMs += CanaryAnalysis.TICK_MS;
      newRequests += move.sharePerMille() > 0 ? 5 : 0;
      Map<SampleKey, SampleCounts> counts = new HashMap<>();
      put(counts, LIST, false, nowMs);
      put(counts, LABEL, false, nowMs);
      put(counts, LIST, true, newRequests);
      put(counts, LABEL, true, servesLabel ? newRequests : 0);
      supervisor.addReport(
          nowMs, new SampleReport(new InstanceName("entry-1"), move.service(), 0, counts, ""));
      apply(supervisor.tick(nowMs, move, 1));
    }
  }

  private static void put(
      Map<SampleKey, SampleCounts> counts, RouteName route, boolean newVersion, long total) {
    LatencyCounts latencies = new LatencyCounts();
    latencies.add(LatencyCounts.bucket(20_000_000), (int) total);
    counts.put(
        new SampleKey(route, newVersion, LoadLevel.LOW, 0), new SampleCounts(total, 0, latencies));
  }

  private void apply(MoveDecision decision) {
    move =
        switch (decision) {
          case MoveDecision.NoChange hold -> move;
          case MoveDecision.Advance advance -> move(advance.sharePerMille(), advance.state());
          case MoveDecision.RollBack back ->
              new VersionMove(
                  move.service(),
                  move.from(),
                  move.to(),
                  0,
                  DEADLINE_MS,
                  0,
                  State.ROLLED_BACK,
                  back.reason());
        };
  }

  private static VersionMove move(int share, State state) {
    return new VersionMove(
        new ServiceName("catalogue"),
        new VersionName("v1"),
        new VersionName("v2"),
        0,
        DEADLINE_MS,
        share,
        state,
        "");
  }
}
