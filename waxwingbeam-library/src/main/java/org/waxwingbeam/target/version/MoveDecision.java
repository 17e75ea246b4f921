package org.waxwingbeam.target.version;

import org.waxwingbeam.model.VersionMove;

/**
 * The next action of the leader of the control replicas on a version move.
 *
 * @since 0.1.0
 */
public sealed interface MoveDecision {
  /** The move stays as it is. */
  record NoChange() implements MoveDecision {}

  /**
   * The move advances to its next step.
   *
   * @param sharePerMille the new version's share of the requests, 0 to 1,000
   * @param state the move's next state
   */
  record Advance(int sharePerMille, VersionMove.State state) implements MoveDecision {}

  /**
   * The move is rolled back: the old version receives all traffic again.
   *
   * @param reason the reason, for operators
   */
  record RollBack(String reason) implements MoveDecision {}
}
