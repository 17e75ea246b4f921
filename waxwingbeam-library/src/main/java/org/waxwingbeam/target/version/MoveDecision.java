package org.waxwingbeam.target.version;

import org.waxwingbeam.model.VersionMove;

/**
 * Tells what the leader of the control replicas is to do about a version move now.
 *
 * @since 0.1.0
 */
public sealed interface MoveDecision {
  /** Nothing changes. */
  record NoChange() implements MoveDecision {}

  /**
   * The move goes one step on.
   *
   * @param sharePerMille the new version's share of the requests, 0 to 1,000
   * @param state the move's next state
   */
  record Advance(int sharePerMille, VersionMove.State state) implements MoveDecision {}

  /**
   * The old version takes all traffic back.
   *
   * @param reason what is wrong, for operators
   */
  record RollBack(String reason) implements MoveDecision {}
}
