package org.waxwingbeam.daemon.routed;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.waxwingbeam.wire.routing.RoutingState;

/**
 * Tells what has been ordered, or that this replica cannot be sure of it.
 *
 * @since 0.1.0
 */
public sealed interface ReadOutcome {
  /**
   * No newer state can have been accepted when the read was made.
   *
   * @param state everything that has been ordered
   * @param source the routing document as the operator wrote it; empty if there is none
   */
  record Newest(RoutingState state, ByteString source) implements ReadOutcome {}

  /**
   * Another replica may know more.
   *
   * @param leaderHost the address of the instance that leads, if it is known
   */
  record Elsewhere(Optional<String> leaderHost) implements ReadOutcome {}
}
