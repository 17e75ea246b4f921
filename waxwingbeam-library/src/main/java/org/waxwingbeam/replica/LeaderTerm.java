package org.waxwingbeam.replica;

/**
 * The times of the term in which a replica leads, on its monotonic clock.
 *
 * @param startNanos when the replica was elected
 * @param previousContactNanos when it last heard of an earlier leader, or when it was started
 * @since 0.1.0
 */
public record LeaderTerm(long startNanos, long previousContactNanos) {}
