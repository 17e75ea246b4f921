package org.waxwingbeam.daemon.routed;

import java.util.Optional;

/**
 * Tells what became of an operator's order.
 *
 * @since 0.1.0
 */
public sealed interface OrderOutcome {
  /** The order is durable at a majority of the replicas and in force there. */
  record Accepted() implements OrderOutcome {}

  /**
   * Another replica decides on orders.
   *
   * @param leaderHost the address of the instance that leads, if it is known
   */
  record Elsewhere(Optional<String> leaderHost) implements OrderOutcome {}

  /** The order may or may not be accepted later. */
  record Unknown() implements OrderOutcome {}
}
