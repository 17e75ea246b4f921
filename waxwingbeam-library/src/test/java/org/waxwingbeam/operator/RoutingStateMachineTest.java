package org.waxwingbeam.operator;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.wire.routing.HostRoute;
import org.waxwingbeam.wire.routing.PutDocument;
import org.waxwingbeam.wire.routing.RoutingChange;
import org.waxwingbeam.wire.routing.RoutingDocument;
import org.waxwingbeam.wire.routing.ServiceMove;
import org.waxwingbeam.wire.routing.ServiceTerms;
import org.waxwingbeam.wire.routing.WeightedService;

class RoutingStateMachineTest {
  private final RoutingStateMachine machine = new RoutingStateMachine();

  private static RoutingChange put(long version, String source) {
    return RoutingChange.newBuilder()
        .setPutDocument(
            PutDocument.newBuilder()
                .setDocument(RoutingDocument.newBuilder().setVersion(version))
                .setSource(ByteString.copyFromUtf8(source)))
        .build();
  }

  private static ServiceMove move(String to) {
    return ServiceMove.newBuilder().setService("alpha").setTo(to).setDurationMs(12_000).build();
  }

  private static RoutingChange startMove(String to) {
    return RoutingChange.newBuilder().setOrderMove(move(to)).build();
  }

  private static RoutingChange advanceMove(ServiceMove move) {
    return RoutingChange.newBuilder().setAdvanceMove(move).build();
  }

  @Test
  void highestVersionStaysInForce() {
    assertThat(machine.apply(put(7, "seven"))).isTrue();
    assertThat(machine.apply(put(3, "three"))).isFalse();
    assertThat(machine.apply(put(7, "another seven"))).isFalse();

    assertThat(machine.documentSource().toStringUtf8()).isEqualTo("seven");
    assertThat(machine.state().getDocument().getVersion()).isEqualTo(7);
    assertThat(machine.state().getRevision()).isEqualTo(1);
  }

  @Test
  void dataCentreIsTakenOutAndBroughtInOnce() {
    RoutingChange out = RoutingChange.newBuilder().setTakeDataCentreOut("chamonix").build();
    RoutingChange in = RoutingChange.newBuilder().setBringDataCentreIn("chamonix").build();

    assertThat(machine.apply(out)).isTrue();
    assertThat(machine.apply(out)).isFalse();
    assertThat(machine.state().getDataCentresOutList()).containsExactly("chamonix");
    assertThat(machine.apply(in)).isTrue();
    assertThat(machine.apply(in)).isFalse();
    assertThat(machine.state().getDataCentresOutList()).isEmpty();
  }

  @Test
  void repeatedCommandForEndedMoveStartsNoMove() {
    machine.apply(startMove("v2"));
    ServiceMove running = machine.move("alpha").orElseThrow();
    ServiceMove rolledBack =
        running.toBuilder().setState(ServiceMove.State.ROLLED_BACK).setSharePerMille(0).build();

    assertThat(machine.apply(advanceMove(rolledBack))).isTrue();
    assertThat(machine.apply(startMove("v2"))).isFalse();
    assertThat(machine.move("alpha")).hasValue(rolledBack);
  }

  @Test
  void endedMoveIsNotAdvanced() {
    machine.apply(startMove("v2"));
    ServiceMove running = machine.move("alpha").orElseThrow();
    machine.apply(advanceMove(running.toBuilder().setState(ServiceMove.State.DONE).build()));

    assertThat(machine.apply(advanceMove(running.toBuilder().setSharePerMille(500).build())))
        .isFalse();
    assertThat(machine.apply(startMove("v3"))).isTrue();
    assertThat(machine.move("alpha").orElseThrow().getNumber()).isEqualTo(2);
  }

  @Test
  void snapshotHoldsEverything() {
    machine.apply(put(7, "seven"));
    machine.apply(startMove("v2"));
    RoutingStateMachine restored = new RoutingStateMachine();
    restored.restore(machine.snapshot());

    assertThat(restored.state()).isEqualTo(machine.state());
    assertThat(restored.documentSource()).isEqualTo(machine.documentSource());
  }

  @Test
  void eachFaultOfDocumentIsReported() {
    RoutingDocument faulty =
        RoutingDocument.newBuilder()
            .addServices(ServiceTerms.newBuilder().setName("alpha"))
            .addRoutes(
                HostRoute.newBuilder()
                    .setName("r")
                    .setPathPrefix("bare")
                    .addServices(WeightedService.newBuilder().setService("beta").setWeight(0)))
            .build();

    assertThat(RoutingDocumentValidator.faults(faulty))
        .containsExactly(
            "route 'r': expected a host, found none",
            "route 'r': path prefix 'bare': expected one that begins with a slash",
            "route 'r': timeout 0 ms: expected 1 ms or more",
            "route 'r': expected weights that add up to more than 0, found 0.0",
            "route 'r': service 'beta': expected one of the document's services");
  }
}
