package org.waxwingbeam.daemon.routed;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.waxwingbeam.wire.routing.RoutingState;

/**
 * Outcome of a read of the routing state.
 *
 * @since 0.1.0
 */
public sealed interface ReadOutcome {
  /**
   * The newest state: no later change had been accepted at the time of the read.
   *
   * @param state the routing state
   * @param source the routing document as submitted by the operator; empty if there is none
   */
  record Current(RoutingState state, ByteString source) implements ReadOutcome {}

  /**
   * No majority has confirmed that this replica leads; it may lack committed changes.
   *
   * @param leaderHost the host of the leader, if known
   */
  record NotLeader(Optional<String> leaderHost) implements ReadOutcome {}
}
