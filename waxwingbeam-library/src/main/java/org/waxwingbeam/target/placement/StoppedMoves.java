package org.waxwingbeam.target.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.waxwingbeam.wire.routing.ServiceMove;

/**
 * Keeps the moves that this entry instance has stopped on its own because the new version fails.
 *
 * @since 0.1.0
 */
public final class StoppedMoves {
  private final Map<String, Long> stoppedMoves = new HashMap<>();

  /** Creates an empty set of stopped moves. */
  public StoppedMoves() {}

  /** Stops a move. */
  public void stop(ServiceMove move) {
    stoppedMoves.put(move.getService(), move.getNumber());
  }

  /** Returns whether a move was stopped. */
  public boolean isStopped(Optional<ServiceMove> move) {
    return move.filter(each -> stoppedMoves.getOrDefault(each.getService(), 0L) >= each.getNumber())
        .isPresent();
  }
}
