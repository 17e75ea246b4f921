package org.waxwingbeam.control;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.waxwingbeam.wire.control.ClaimReply;

/** Matches claim calls with their replies and times them out. */
public final class PendingClaimCalls {
  private final Map<Long, Pending> calls = new TreeMap<>();
  private long lastSequence;

  private record Pending(long untilNanos, Consumer<Optional<ByteString>> receiver) {}

  /**
   * Notes a call that is about to be sent.
   *
   * @param untilNanos when it times out
   * @param receiver called once with the reply, or empty if there is none in time
   * @return its sequence
   */
  public long add(long untilNanos, Consumer<Optional<ByteString>> receiver) {
    lastSequence++;
    calls.put(lastSequence, new Pending(untilNanos, receiver));
    return lastSequence;
  }

  /** Ends the call that a reply answers. */
  public void replied(ClaimReply reply) {
    Pending pending = calls.remove(reply.getSequence());
    if (pending != null) {
      pending.receiver().accept(reply.getApplied() ? response(reply) : Optional.empty());
    }
  }

  private static Optional<ByteString> response(ClaimReply reply) {
    return Optional.of(reply.getAnswer());
  }

  /** Ends the calls whose time is up. */
  public void expire(long nowNanos) {
    List<Long> late =
        calls.entrySet().stream()
            .filter(entry -> nowNanos - entry.getValue().untilNanos() >= 0)
            .map(Map.Entry::getKey)
            .toList();
    late.forEach(sequence -> calls.remove(sequence).receiver().accept(Optional.empty()));
  }

  /** Ends every call, because the connection is lost. */
  public void fail() {
    List<Pending> lost = List.copyOf(calls.values());
    calls.clear();
    lost.forEach(pending -> pending.receiver().accept(Optional.empty()));
  }
}
