package org.waxwingbeam.target;

import java.util.Optional;
import org.waxwingbeam.model.TargetId;

/**
 * End of an attempt to which a target had been assigned.
 *
 * @param attemptId the attempt
 * @param target the assigned target
 * @param outcome how it ended
 * @param headLatencyNanos time from sending the request to the head of the response, or to the
 *     failure
 * @param loadReport the load report that the response carried, if any
 * @param transferredBytes length of the request's and the response's body, as far as transferred
 * @since 0.1.0
 */
public record Completion(
    long attemptId,
    TargetId target,
    AttemptOutcome outcome,
    long headLatencyNanos,
    Optional<LoadReport> loadReport,
    long transferredBytes) {
  /** Creates the end of an attempt that transferred no bodies. */
  public Completion(
      long attemptId,
      TargetId target,
      AttemptOutcome outcome,
      long headLatencyNanos,
      Optional<LoadReport> loadReport) {
    this(attemptId, target, outcome, headLatencyNanos, loadReport, 0);
  }
}
