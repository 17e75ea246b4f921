package org.waxwingbeam.replica;

import java.util.random.RandomGenerator;

/** Tells when a replica may campaign, and when it must stay with the leader that it knows. */
final class ElectionTimer {
  private final RandomGenerator random;
  private long leaderContactNanos;
  private long deadlineNanos;

  /**
   * Starts as if a leader had just been heard, for the replica may have promised so before it
   * restarted.
   */
  ElectionTimer(RandomGenerator random, long nowNanos) {
    this.random = random;
    leaderHeard(nowNanos);
  }

  /** Notes a message of the leader. */
  void leaderHeard(long nowNanos) {
    leaderContactNanos = nowNanos;
    postpone(nowNanos);
  }

  /** Puts off the next campaign. */
  void postpone(long nowNanos) {
    deadlineNanos =
        nowNanos
            + ReplicaTimings.ELECTION_MIN_NANOS
            + random.nextLong(ReplicaTimings.ELECTION_SPREAD_NANOS);
  }

  /** Puts off the next campaign of a candidate that has no leader to wait for. */
  void retry(long nowNanos) {
    deadlineNanos =
        nowNanos
            + ReplicaTimings.CAMPAIGN_RETRY_MIN_NANOS
            + random.nextLong(ReplicaTimings.CAMPAIGN_RETRY_SPREAD_NANOS);
  }

  /** Returns whether a leader was heard so recently that no other candidate may get the vote. */
  boolean keepsLeader(long nowNanos) {
    return nowNanos - leaderContactNanos < ReplicaTimings.ELECTION_MIN_NANOS;
  }

  /** Returns whether it is time to campaign. */
  boolean isDue(long nowNanos) {
    return nowNanos - deadlineNanos >= 0;
  }
}
