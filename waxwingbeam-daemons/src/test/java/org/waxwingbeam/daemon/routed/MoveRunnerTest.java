package org.waxwingbeam.daemon.routed;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.operator.RoutingStateMachine;
import org.waxwingbeam.wire.feed.VersionCounts;
import org.waxwingbeam.wire.feed.VersionEvidence;
import org.waxwingbeam.wire.routing.RoutingChange;
import org.waxwingbeam.wire.routing.ServiceMove;

class MoveRunnerTest {
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

  @Test
  void newLeaderUsesSamplesFromBeforeItsElection() {
    routing.apply(
        RoutingChange.newBuilder()
            .setOrderMove(
                ServiceMove.newBuilder().setService("alpha").setTo("v2").setDurationMs(12_000))
            .build());
    runner.addSamples(samples(11_500, 40));

    runner.tick(System.nanoTime());

    assertThat(proposed).containsExactly(ServiceMove.State.DONE);
  }
}
