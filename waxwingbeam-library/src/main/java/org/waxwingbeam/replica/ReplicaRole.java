package org.waxwingbeam.replica;

/**
 * The role of a replica in the Raft protocol.
 *
 * @since 0.1.0
 */
public enum ReplicaRole {
  /** Follows a leader, or waits for one. */
  FOLLOWER,
  /** Requests votes. */
  CANDIDATE,
  /** Appends commands to the log and replicates them. */
  LEADER,
  /** Stores the log and has no vote. */
  LEARNER,
  /** Its disk refuses writes; it handles no messages until a write has succeeded. */
  SUSPENDED
}
