package org.waxwingbeam.control;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.waxwingbeam.wire.control.ClaimReply;

/** Matches the replies to claim calls with the pending calls, and times calls out. */
public final class PendingClaimCalls {
  private final Map<Long, Pending> calls = new TreeMap<>();
  private long lastSequence;

  private record Pending(long deadlineNanos, Consumer<Optional<ByteString>> receiver) {}

  /**
   * Adds a call that is about to be sent.
   *
   * @param deadlineNanos the time at which the call times out
   * @param receiver called once with the reply, or with empty if none arrives in time
   * @return the call's sequence number
   */
  public long add(long deadlineNanos, Consumer<Optional<ByteString>> receiver) {
    lastSequence++;
    calls.put(lastSequence, new Pending(deadlineNanos, receiver));
    return lastSequence;
  }

  /** Completes the call to which a reply belongs. */
  public void complete(ClaimReply reply) {
    Pending pending = calls.remove(reply.getSequence());
    if (pending != null) {
      pending.receiver().accept(reply.getApplied() ? tableReply(reply) : Optional.empty());
    }
  }

  private static Optional<ByteString> tableReply(ClaimReply reply) {
    return Optional.of(reply.getAnswer());
  }

  /** Fails the calls whose time-out has passed. */
  public void expire(long nowNanos) {
    List<Long> expired =
        calls.entrySet().stream()
            .filter(entry -> nowNanos - entry.getValue().deadlineNanos() >= 0)
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(sequence -> calls.remove(sequence).receiver().accept(Optional.empty()));
  }

  /** Fails every pending call because the connection is lost. */
  public void failAll() {
    List<Pending> lost = List.copyOf(calls.values());
    calls.clear();
    lost.forEach(pending -> pending.receiver().accept(Optional.empty()));
  }
}
