package org.waxwingbeam.replica;

import com.google.protobuf.ByteString;

/**
 * The state machine of the claim table. It is deterministic: the same commands in the same order
 * always give the same replies and the same snapshot.
 *
 * @since 0.1.0
 */
public interface ClaimStateMachine {
  /**
   * Applies one command.
   *
   * @param command the command in the claim table's own encoding
   * @param nowMs the time at which the leader proposed it, in milliseconds since the epoch
   * @return the reply in the claim table's own encoding
   */
  ByteString apply(ByteString command, long nowMs);

  /** Returns a snapshot of the whole table. */
  ByteString snapshot();

  /** Replaces the whole table by one that {@link #snapshot} returned. */
  void restore(ByteString snapshot);
}
