package org.waxwingbeam.tools.testing.replica;

import com.google.protobuf.ByteString;
import org.waxwingbeam.replica.ClaimStateMachine;

/**
 * Counts claim commands and answers each with its number, for runs that claim nothing.
 *
 * @since 0.1.0
 */
public final class NoClaims implements ClaimStateMachine {
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
