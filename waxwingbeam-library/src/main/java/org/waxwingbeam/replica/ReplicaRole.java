package org.waxwingbeam.replica;

/**
 * Tells what part a replica has in the agreement on the log.
 *
 * @since 0.1.0
 */
public enum ReplicaRole {
  /** It follows a leader, or waits for one. */
  FOLLOWER,
  /** It asks for votes. */
  CANDIDATE,
  /** It orders the log. */
  LEADER,
  /** It stores the log and has no vote. */
  LEARNER,
  /** Its disk has failed; it takes no part any more. */
  FAILED
}
