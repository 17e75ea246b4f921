package org.waxwingbeam.operator;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.waxwingbeam.wire.routing.PutDocument;
import org.waxwingbeam.wire.routing.RoutingChange;
import org.waxwingbeam.wire.routing.RoutingSnapshot;
import org.waxwingbeam.wire.routing.RoutingState;
import org.waxwingbeam.wire.routing.ServiceMove;

/**
 * The state machine of the routing state. It applies routing documents, changes that take data
 * centres out of service or bring them back, and version moves. The same changes in the same order
 * always give the same state.
 *
 * <pre>{@code
 * RoutingStateMachine machine = new RoutingStateMachine();
 * boolean changed = machine.apply(change);
 * RoutingState state = machine.state();
 * }</pre>
 *
 * @since 0.1.0
 */
public final class RoutingStateMachine {
  private RoutingState state = RoutingState.getDefaultInstance();
  private ByteString documentSource = ByteString.EMPTY;

  /**
   * Applies one change. A change that was applied before has no effect, nor has a document whose
   * version is not higher than the current one's.
   *
   * @return whether the state has changed
   */
  public boolean apply(RoutingChange change) {
    RoutingState.Builder next = state.toBuilder();
    boolean changed =
        switch (change.getKindCase()) {
          case PUT_DOCUMENT -> putDocument(next, change.getPutDocument());
          case TAKE_DATA_CENTRE_OUT -> takeOut(next, change.getTakeDataCentreOut());
          case BRING_DATA_CENTRE_IN -> bringIn(next, change.getBringDataCentreIn());
          case ORDER_MOVE -> startMove(next, change.getOrderMove());
          case ADVANCE_MOVE -> advanceMove(next, change.getAdvanceMove());
          case KIND_NOT_SET -> false;
        };
    if (changed) {
      state = next.setRevision(state.getRevision() + 1).build();
    }
    return changed;
  }

  private boolean putDocument(RoutingState.Builder next, PutDocument put) {
    boolean newer =
        !state.hasDocument()
            || Long.compareUnsigned(
                    put.getDocument().getVersion(), state.getDocument().getVersion())
                > 0;
    if (newer) {
      next.setDocument(put.getDocument());
      documentSource = put.getSource();
    }
    return newer;
  }

  private static boolean takeOut(RoutingState.Builder next, String dataCentre) {
    if (next.getDataCentresOutList().contains(dataCentre)) {
      return false;
    }
    next.addDataCentresOut(dataCentre);
    return true;
  }

  private static boolean bringIn(RoutingState.Builder next, String dataCentre) {
    List<String> others =
        next.getDataCentresOutList().stream().filter(each -> !each.equals(dataCentre)).toList();
    if (others.size() == next.getDataCentresOutCount()) {
      return false;
    }
    next.clearDataCentresOut().addAllDataCentresOut(others);
    return true;
  }

  private boolean startMove(RoutingState.Builder next, ServiceMove move) {
    Optional<ServiceMove> latest = move(move.getService());
    if (latest.map(ServiceMove::getTo).filter(move.getTo()::equals).isPresent()) {
      return false;
    }
    long number = latest.map(ServiceMove::getNumber).orElse(0L) + 1;
    replaceMove(
        next, move.toBuilder().setNumber(number).setState(ServiceMove.State.RUNNING).build());
    return true;
  }

  private boolean advanceMove(RoutingState.Builder next, ServiceMove move) {
    Optional<ServiceMove> running =
        move(move.getService())
            .filter(each -> each.getNumber() == move.getNumber())
            .filter(each -> each.getState() == ServiceMove.State.RUNNING)
            .filter(each -> !each.equals(move));
    running.ifPresent(each -> replaceMove(next, move));
    return running.isPresent();
  }

  private void replaceMove(RoutingState.Builder next, ServiceMove move) {
    List<ServiceMove> moves =
        Stream.concat(
                state.getMovesList().stream()
                    .filter(each -> !each.getService().equals(move.getService())),
                Stream.of(move))
            .toList();
    next.clearMoves().addAllMoves(moves);
  }

  /** Returns the latest version move of a service, if there was one. */
  public Optional<ServiceMove> move(String service) {
    return state.getMovesList().stream()
        .filter(each -> each.getService().equals(service))
        .findFirst();
  }

  /** Returns the current routing state. */
  public RoutingState state() {
    return state;
  }

  /**
   * Returns the source text of the document in force, as the operator submitted it; empty if there
   * is none.
   */
  public ByteString documentSource() {
    return documentSource;
  }

  /** Returns a snapshot of the whole state. */
  public RoutingSnapshot snapshot() {
    return RoutingSnapshot.newBuilder().setState(state).setSource(documentSource).build();
  }

  /** Replaces the whole state by one that {@link #snapshot} returned. */
  public void restore(RoutingSnapshot snapshot) {
    state = snapshot.getState();
    documentSource = snapshot.getSource();
  }
}
