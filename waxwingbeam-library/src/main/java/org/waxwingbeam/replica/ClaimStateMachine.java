package org.waxwingbeam.replica;

import com.google.protobuf.ByteString;

/**
 * Applies the commands of the claim table. The same commands in the same order always give the same
 * answers and the same snapshot.
 *
 * @since 0.1.0
 */
public interface ClaimStateMachine {
  /**
   * Applies one command.
   *
   * @param command in the claim table's own encoding
   * @param nowMs when the leader proposed it, in milliseconds since the epoch
   * @return the answer in the claim table's own encoding
   */
  ByteString apply(ByteString command, long nowMs);

  /** Returns the whole table. */
  ByteString snapshot();

  /** Replaces the whole table by one that {@link #snapshot} returned. */
  void restore(ByteString snapshot);
}
