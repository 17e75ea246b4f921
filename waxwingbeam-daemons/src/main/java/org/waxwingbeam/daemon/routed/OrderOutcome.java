package org.waxwingbeam.daemon.routed;

import java.util.Optional;

/**
 * Outcome of a routing change that an operator has submitted.
 *
 * @since 0.1.0
 */
public sealed interface OrderOutcome {
  /** The change is committed, so durable at a majority of the replicas, and applied. */
  record Accepted() implements OrderOutcome {}

  /**
   * This replica is not the leader.
   *
   * @param leaderHost the host of the leader, if known
   */
  record Elsewhere(Optional<String> leaderHost) implements OrderOutcome {}

  /** The change may or may not be committed later. */
  record Unknown() implements OrderOutcome {}
}
