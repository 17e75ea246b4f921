package org.waxwingbeam.replica;

import java.util.concurrent.TimeUnit;

/**
 * Time-outs and intervals of the Raft protocol; all replicas of one log must use the same values.
 */
final class ReplicaTimings {
  /** Interval between two heartbeats of a leader. */
  static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /**
   * Least time without contact to a leader before a replica starts an election. Until it has
   * passed, the replica grants no vote either.
   */
  static final long ELECTION_MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /**
   * Upper bound of the random addition to {@link #ELECTION_MIN_NANOS}, which keeps elections from
   * colliding.
   */
  static final long ELECTION_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /**
   * Least time before a candidate starts its next election: enough for all votes to arrive, also
   * from replicas whose disks take 50 ms for each sync.
   */
  static final long CAMPAIGN_RETRY_MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /**
   * Upper bound of the random addition to {@link #CAMPAIGN_RETRY_MIN_NANOS}, which keeps elections
   * from colliding.
   */
  static final long CAMPAIGN_RETRY_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /**
   * Duration of the leader lease, counted from when the leader sent the requests that a majority
   * has acknowledged. It ends before these replicas grant their votes to another candidate.
   */
  static final long LEADER_LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Time without replies from a majority after which a leader steps down. */
  static final long QUORUM_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Time after which a write that has failed is tried again. */
  static final long WRITE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Time after which a compaction of the log that has failed is tried again. */
  static final long COMPACTION_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private ReplicaTimings() {}
}
