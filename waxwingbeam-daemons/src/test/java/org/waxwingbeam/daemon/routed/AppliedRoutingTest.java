package org.waxwingbeam.daemon.routed;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.wire.routing.RoutingDocument;
import org.waxwingbeam.wire.routing.RoutingState;

class AppliedRoutingTest {
  private boolean dispatcherFails;

  private final AppliedRouting routing =
      new AppliedRouting(
          state -> {
            if (dispatcherFails) {
              throw new IllegalStateException("expected by the test");
            }
          },
          new SplittableRandom(1));

  private static RoutingState state(long revision, long version) {
    return RoutingState.newBuilder()
        .setRevision(revision)
        .setDocument(RoutingDocument.newBuilder().setVersion(version))
        .build();
  }

  @Test
  void stateThatCouldNotBeAppliedIsAppliedWhenItArrivesAgain() {
    routing.applyIfNewer(state(1, 38));
    dispatcherFails = true;
    assertThrows(IllegalStateException.class, () -> routing.applyIfNewer(state(2, 42)));
    assertThat(routing.version()).isEqualTo(38);
    assertThat(routing.state().getRevision()).isEqualTo(1);

    dispatcherFails = false;
    routing.applyIfNewer(state(2, 42));
    assertThat(routing.version()).isEqualTo(42);
  }

  @Test
  void olderStateChangesNothing() {
    routing.applyIfNewer(state(2, 42));
    routing.applyIfNewer(state(1, 38));
    assertThat(routing.version()).isEqualTo(42);
  }
}
