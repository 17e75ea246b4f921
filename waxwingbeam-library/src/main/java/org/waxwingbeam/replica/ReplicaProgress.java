package org.waxwingbeam.replica;

/** Tracks, at the leader, how much of the log one other replica has stored. */
final class ReplicaProgress {
  private long nextIndex;
  private long matchIndex;
  private long lastReplyNanos;
  private long acknowledgedSendNanos;
  private boolean hasAnyReply;
  private boolean inFlight;
  private long inFlightSendNanos;

  /**
   * Creates the progress of a replica that has not replied yet.
   *
   * @param nextIndex index of the first entry to send to it
   * @param lastContactNanos when it was last heard of
   */
  ReplicaProgress(long nextIndex, long lastContactNanos) {
    this.nextIndex = nextIndex;
    lastReplyNanos = lastContactNanos;
    acknowledgedSendNanos = lastContactNanos;
  }

  long nextIndex() {
    return nextIndex;
  }

  long matchIndex() {
    return matchIndex;
  }

  /** Returns when the replica has last replied, or was last heard of before this leader's term. */
  long lastReplyNanos() {
    return lastReplyNanos;
  }

  /** Returns whether the replica has replied to this leader at all. */
  boolean hasReplied() {
    return hasAnyReply;
  }

  /** Returns the send time of the newest request that the replica has replied to. */
  long acknowledgedSendNanos() {
    return acknowledgedSendNanos;
  }

  /** Returns whether a request is on its way that the replica has not replied to. */
  boolean inFlight() {
    return inFlight;
  }

  void recordSent(long nowNanos) {
    inFlight = true;
    inFlightSendNanos = nowNanos;
  }

  /** Records a reply of any kind. */
  void recordReply(long nowNanos, long sendNanos) {
    lastReplyNanos = nowNanos;
    if (!hasAnyReply || sendNanos - acknowledgedSendNanos > 0) {
      hasAnyReply = true;
      acknowledgedSendNanos = sendNanos;
    }
    if (sendNanos - inFlightSendNanos >= 0) {
      inFlight = false;
    }
  }

  /** Records that the replica's log equals the leader's up to an index. */
  void recordMatch(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }

  /** Records that the replica's log does not match the entry before the next index. */
  void recordMismatch(long hint) {
    nextIndex = Math.max(matchIndex + 1, Math.min(hint, nextIndex - 1));
  }
}
