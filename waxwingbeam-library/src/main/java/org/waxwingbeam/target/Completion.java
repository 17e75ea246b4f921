package org.waxwingbeam.target;

import java.util.Optional;
import org.waxwingbeam.model.TargetId;

/**
 * Reports the end of an attempt that had been given a target.
 *
 * @param attemptId the attempt
 * @param target the target that it was given
 * @param outcome how it ended
 * @param headLatencyNanos time from sending the request to the answer's head, or to the failure
 * @param loadReport what the target said of its own load on the answer
 * @since 0.1.0
 */
public record Completion(
    long attemptId,
    TargetId target,
    AttemptOutcome outcome,
    long headLatencyNanos,
    Optional<LoadReport> loadReport) {}
