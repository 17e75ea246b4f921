package org.waxwingbeam.tools.testing.replica;

import com.google.protobuf.ByteString;
import org.waxwingbeam.replica.ClaimStateMachine;

/**
 * A claim state machine for simulations without claims. Its whole state is the number of applied
 * commands, which it also returns as the result of each command.
 *
 * @since 0.1.0
 */
public final class CountingClaims implements ClaimStateMachine {
  private long count;

  @Override
  public ByteString apply(ByteString command, long nowMs) {
    count++;
    return ByteString.copyFromUtf8(Long.toString(count));
  }

  @Override
  public ByteString snapshot() {
    return ByteString.copyFromUtf8(Long.toString(count));
  }

  @Override
  public void restore(ByteString snapshot) {
    count = snapshot.isEmpty() ? 0 : Long.parseLong(snapshot.toStringUtf8());
  }
}
