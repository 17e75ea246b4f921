package org.waxwingbeam.daemon.routed;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.operator.RoutingStateMachine;
import org.waxwingbeam.replica.LeaderTerm;
import org.waxwingbeam.wire.feed.VersionCounts;
import org.waxwingbeam.wire.feed.VersionEvidence;
import org.waxwingbeam.wire.routing.RoutingChange;
import org.waxwingbeam.wire.routing.ServiceMove;

class MoveRunnerTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final RoutingStateMachine routing = new RoutingStateMachine();
  private final List<ServiceMove.State> proposed = new ArrayList<>();
  private final MoveRunner runner =
      new MoveRunner(routing, change -> proposed.add(change.getAdvanceMove().getState()));

  private static VersionEvidence samples(long ageMs, int responses) {
    return VersionEvidence.newBuilder()
        .setService("alpha")
        .setMove(1)
        .setAfter(VersionCounts.newBuilder().setAnswers(responses))
        .setAgeMs(ageMs)
        .build();
  }

  private void orderMove() {
    routing.apply(
        RoutingChange.newBuilder()
            .setOrderMove(
                ServiceMove.newBuilder().setService("alpha").setTo("v2").setDurationMs(12_000))
            .build());
  }

  @Test
  void newLeaderUsesSamplesFromBeforeItsElection() {
    orderMove();
    runner.applySamples("front-1", samples(11_500, 40));
    long now = System.nanoTime();

    runner.tick(now, new LeaderTerm(now, now));

    assertThat(proposed).containsExactly(ServiceMove.State.DONE);
  }

  /** The operator's first attempts reached replicas that could not accept the order. */
  @Test
  void moveOrderedSoonAfterAnElectionCountsFromTheLossOfTheEarlierLeader() {
    // In the past, as samples are recorded with the present time.
    long lost = System.nanoTime() - 20 * SECOND;
    LeaderTerm term = new LeaderTerm(lost + SECOND, lost);
    orderMove();
    runner.tick(lost + 3 * SECOND / 2, term);
    runner.applySamples("front-1", samples(0, 40));

    runner.tick(lost + 10 * SECOND, term);
    assertThat(proposed).doesNotContain(ServiceMove.State.DONE);

    runner.tick(lost + 11 * SECOND, term);
    assertThat(proposed).contains(ServiceMove.State.DONE);
  }

  @Test
  void moveOrderedLaterCountsFromItsAcceptance() {
    // In the past, as samples are recorded with the present time.
    long lost = System.nanoTime() - 20 * SECOND;
    LeaderTerm term = new LeaderTerm(lost + SECOND, lost);
    orderMove();
    runner.tick(lost + 5 * SECOND, term);
    runner.applySamples("front-1", samples(0, 40));

    runner.tick(lost + 15 * SECOND, term);
    assertThat(proposed).doesNotContain(ServiceMove.State.DONE);

    runner.tick(lost + 16 * SECOND, term);
    assertThat(proposed).contains(ServiceMove.State.DONE);
  }
}
