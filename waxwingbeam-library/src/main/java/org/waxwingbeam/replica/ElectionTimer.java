package org.waxwingbeam.replica;

import java.util.random.RandomGenerator;

/**
 * Decides when a replica starts an election and when it must not vote because a leader is alive.
 */
final class ElectionTimer {
  private final RandomGenerator random;
  private long leaderContactNanos;
  private long deadlineNanos;

  /**
   * Creates a timer that counts from {@code nowNanos} as the last contact with a leader: the
   * replica may have acknowledged a leader's lease just before it restarted.
   */
  ElectionTimer(RandomGenerator random, long nowNanos) {
    this.random = random;
    recordLeaderContact(nowNanos);
  }

  /** Records that a message of the leader was received. */
  void recordLeaderContact(long nowNanos) {
    leaderContactNanos = nowNanos;
    reset(nowNanos);
  }

  /** Returns when the last message of a leader was received, or when the timer was created. */
  long leaderContactNanos() {
    return leaderContactNanos;
  }

  /** Restarts the election time-out. */
  void reset(long nowNanos) {
    deadlineNanos =
        nowNanos
            + ReplicaTimings.ELECTION_MIN_NANOS
            + random.nextLong(ReplicaTimings.ELECTION_SPREAD_NANOS);
  }

  /** Restarts the shorter time-out after which a candidate starts its next election. */
  void resetForRetry(long nowNanos) {
    deadlineNanos =
        nowNanos
            + ReplicaTimings.CAMPAIGN_RETRY_MIN_NANOS
            + random.nextLong(ReplicaTimings.CAMPAIGN_RETRY_SPREAD_NANOS);
  }

  /**
   * Returns whether the last contact with a leader is so recent that no candidate may get the vote.
   */
  boolean hasRecentLeaderContact(long nowNanos) {
    return nowNanos - leaderContactNanos < ReplicaTimings.ELECTION_MIN_NANOS;
  }

  /** Returns whether the time-out has passed, so that an election is due. */
  boolean isDue(long nowNanos) {
    return nowNanos - deadlineNanos >= 0;
  }
}
