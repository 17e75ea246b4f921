package org.waxwingbeam.target.version;

import java.util.Optional;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.LoadReport;

/**
 * Tells how one attempt ended, for the comparison of versions.
 *
 * @param service the service
 * @param route the route
 * @param version the version that the target runs
 * @param target the target
 * @param outcome how the attempt ended
 * @param headLatencyNanos time from sending the request to the answer's head
 * @param report the target's load, from its answer
 * @param cold whether the target is in a cold start or still warming up
 * @since 0.1.0
 */
public record Observation(
    ServiceName service,
    RouteName route,
    VersionName version,
    TargetId target,
    AttemptOutcome outcome,
    long headLatencyNanos,
    Optional<LoadReport> report,
    boolean cold) {
  private static final double MAX_QUEUE_FACTOR = 4;

  /** Returns about how long the request would have taken without the target's queue. */
  long unqueuedNanos() {
    double queue =
        report.map(each -> (double) each.queued() / Math.max(1, each.slots())).orElse(0.0);
    return (long) (headLatencyNanos / Math.min(MAX_QUEUE_FACTOR, 1 + queue));
  }

  /** Returns what the outcome says of the version. */
  Verdict verdict() {
    if (cold) {
      return Verdict.NONE;
    }
    return switch (outcome) {
      case SUCCESS -> Verdict.SUCCESS;
      case FAILURE, REFUSED_OVERLOADED, CONNECTION_LOST, TIMED_OUT -> Verdict.FAILURE;
      case REFUSED_COLD, REFUSED_DRAINING, REFUSED_WRONG_TARGET, CONNECT_FAILED, CANCELLED ->
          Verdict.NONE;
    };
  }

  /** Tells what an outcome says of a version. */
  enum Verdict {
    SUCCESS,
    FAILURE,
    NONE
  }
}
