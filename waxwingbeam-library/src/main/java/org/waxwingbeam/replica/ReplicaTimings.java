package org.waxwingbeam.replica;

import java.util.concurrent.TimeUnit;

/** Lists the durations that the replicas of one log agree on. */
final class ReplicaTimings {
  /** Pause between two heartbeats of a leader. */
  static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /**
   * Time without a leader after which a replica may campaign, and before which it gives no vote.
   */
  static final long ELECTION_MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** Greatest addition to that time, drawn at random so that campaigns do not collide. */
  static final long ELECTION_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /**
   * Pause of a candidate before its next campaign: votes that come at all have come by then, also
   * from disks that take 50 ms a sync.
   */
  static final long CAMPAIGN_RETRY_MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Greatest addition to that pause, drawn at random so that campaigns do not collide. */
  static final long CAMPAIGN_RETRY_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Time from sending a heartbeat for which an answer to it keeps other leaders away. */
  static final long LEADER_LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Time without answers of a majority after which a leader steps down. */
  static final long QUORUM_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Pause before a snapshot is sent again. */
  static final long SNAPSHOT_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  private ReplicaTimings() {}
}
