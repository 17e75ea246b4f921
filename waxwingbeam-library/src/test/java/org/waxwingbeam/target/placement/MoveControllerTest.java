package org.waxwingbeam.target.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.wire.feed.VersionCounts;
import org.waxwingbeam.wire.feed.VersionEvidence;
import org.waxwingbeam.wire.routing.ServiceMove;

class MoveControllerTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final ServiceMove MOVE =
      ServiceMove.newBuilder()
          .setService("alpha")
          .setTo("v2")
          .setDurationMs(12_000)
          .setNumber(1)
          .setState(ServiceMove.State.RUNNING)
          .setSharePerMille(60)
          .build();

  private final MoveController controller = new MoveController(0, MOVE);

  private void addSamples(int before, int badBefore, int after, int badAfter) {
    controller.applySamples(
        SECOND,
        "front-1",
        VersionEvidence.newBuilder()
            .setService("alpha")
            .setMove(1)
            .setBefore(VersionCounts.newBuilder().setAnswers(before).setSlow(badBefore))
            .setAfter(VersionCounts.newBuilder().setAnswers(after).setFailures(badAfter))
            .build());
  }

  @Test
  void moveToGoodVersionIsCompletedBeforeTheLimit() {
    addSamples(900, 20, 50, 1);

    assertThat(controller.next(8 * SECOND, MOVE)).isEmpty();
    ServiceMove next = controller.next(11 * SECOND, MOVE).orElseThrow();
    assertThat(next.getState()).isEqualTo(ServiceMove.State.DONE);
  }

  @Test
  void newLeaderLearnsTheAgeOfTheMoveFromEntryInstances() {
    MoveController ofNewLeader = new MoveController(20 * SECOND, MOVE);
    ofNewLeader.applySamples(
        21 * SECOND,
        "front-1",
        VersionEvidence.newBuilder()
            .setMove(1)
            .setAfter(VersionCounts.newBuilder().setAnswers(9))
            .setAgeMs(10_500)
            .build());

    assertThat(ofNewLeader.next(21 * SECOND, MOVE)).isEmpty();
    assertThat(ofNewLeader.next(22 * SECOND, MOVE).orElseThrow().getState())
        .isEqualTo(ServiceMove.State.DONE);
  }

  @Test
  void failingVersionIsRolledBackImmediately() {
    addSamples(200, 2, 12, 6);

    ServiceMove back = controller.next(2 * SECOND, MOVE).orElseThrow();
    assertThat(back.getState()).isEqualTo(ServiceMove.State.ROLLED_BACK);
    assertThat(back.getSharePerMille()).isEqualTo(0);
  }

  @Test
  void failuresOfBothVersionsDoNotCauseRollBack() {
    addSamples(400, 80, 30, 7);

    assertThat(controller.next(2 * SECOND, MOVE)).isEqualTo(Optional.empty());
  }

  @Test
  void noisyNeighboursOfFewTargetsDoNotCauseRollBack() {
    addSamples(900, 10, 120, 12);

    assertThat(controller.next(2 * SECOND, MOVE)).isEqualTo(Optional.empty());
  }

  @Test
  void versionThatFailsOneThirdIsRolledBackAfterThirtyResponses() {
    addSamples(500, 5, 30, 10);

    assertThat(controller.next(2 * SECOND, MOVE).orElseThrow().getState())
        .isEqualTo(ServiceMove.State.ROLLED_BACK);
  }

  @Test
  void versionWithoutResponsesIsRolledBackAtTheLimit() {
    addSamples(400, 0, 0, 0);

    ServiceMove back = controller.next(11 * SECOND, MOVE).orElseThrow();
    assertThat(back.getState()).isEqualTo(ServiceMove.State.ROLLED_BACK);
  }

  private static VersionEvidence counts(long ageMs, int before, int after, int badAfter) {
    return VersionEvidence.newBuilder()
        .setMove(1)
        .setBefore(VersionCounts.newBuilder().setAnswers(before))
        .setAfter(VersionCounts.newBuilder().setAnswers(after).setFailures(badAfter))
        .setAgeMs(ageMs)
        .build();
  }

  /** Finding of australes-gw trouble-3: a replica lost its disk, led, and completed a bad move. */
  @Test
  void replicaThatHasRestartedLearnsAllCountsFromTheNextReports() {
    controller.applySamples(SECOND, "front-1", counts(1_000, 100, 10, 5));
    MoveController restarted = new MoveController(2 * SECOND, MOVE);

    restarted.applySamples(2 * SECOND, "front-1", counts(2_000, 180, 12, 6));

    assertThat(restarted.next(3 * SECOND, MOVE).orElseThrow().getState())
        .isEqualTo(ServiceMove.State.ROLLED_BACK);
  }

  @Test
  void repeatedReportsAreNotCountedTwice() {
    for (int i = 0; i < 10; i++) {
      controller.applySamples(i * SECOND, "front-1", counts(i * 1_000L, 100, 12, 2));
    }

    assertThat(controller.next(9 * SECOND, MOVE)).isEmpty();
  }

  @Test
  void countsOfAnEntryInstanceThatHasRestartedAreKept() {
    controller.applySamples(SECOND, "front-1", counts(1_000, 100, 8, 4));
    controller.applySamples(2 * SECOND, "front-1", counts(100, 3, 4, 2));

    assertThat(controller.next(2 * SECOND, MOVE).orElseThrow().getState())
        .isEqualTo(ServiceMove.State.ROLLED_BACK);
  }
}
