package org.waxwingbeam.replica;

/** Tracks, at the leader, how far one other replica has come. */
final class ReplicaProgress {
  private long nextIndex;
  private long matchIndex;
  private long heardNanos;
  private long acknowledgedSendNanos;
  private boolean acknowledged;
  private boolean inFlight;
  private long inFlightSendNanos;
  private boolean snapshotSent;
  private long snapshotSendNanos;

  ReplicaProgress(long nextIndex, long nowNanos) {
    this.nextIndex = nextIndex;
    heardNanos = nowNanos;
    acknowledgedSendNanos = nowNanos;
  }

  long nextIndex() {
    return nextIndex;
  }

  long matchIndex() {
    return matchIndex;
  }

  long heardNanos() {
    return heardNanos;
  }

  /** Returns whether the replica has answered this leader at all. */
  boolean hasResponded() {
    return acknowledged;
  }

  /** Returns when the newest request that was answered had been sent. */
  long acknowledgedSendNanos() {
    return acknowledgedSendNanos;
  }

  boolean inFlight() {
    return inFlight;
  }

  void sent(long nowNanos) {
    inFlight = true;
    inFlightSendNanos = nowNanos;
  }

  void snapshotSent(long nowNanos) {
    snapshotSent = true;
    snapshotSendNanos = nowNanos;
  }

  /** Returns whether a snapshot was sent a short time ago and has not been answered. */
  boolean awaitsSnapshotResponse(long nowNanos) {
    return snapshotSent && nowNanos - snapshotSendNanos < ReplicaTimings.SNAPSHOT_RETRY_NANOS;
  }

  /** Notes an answer of any kind. */
  void recordResponse(long nowNanos, long sendNanos) {
    heardNanos = nowNanos;
    if (!acknowledged || sendNanos - acknowledgedSendNanos > 0) {
      acknowledged = true;
      acknowledgedSendNanos = sendNanos;
    }
    if (sendNanos - inFlightSendNanos >= 0) {
      inFlight = false;
    }
  }

  /** Notes that the replica's log equals the leader's up to an index. */
  void matched(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    if (index > 0) {
      snapshotSent = false;
    }
  }

  /** Notes that the replica's log differs before the next index. */
  void mismatched(long hint) {
    nextIndex = Math.max(matchIndex + 1, Math.min(hint, nextIndex - 1));
  }
}
