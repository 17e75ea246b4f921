package org.waxwingbeam.target.version;

import java.util.Optional;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.LoadReport;

/**
 * The result of one attempt, for the comparison of versions.
 *
 * @param service the service
 * @param route the route
 * @param version the version that the target runs
 * @param target the target
 * @param outcome how the attempt ended
 * @param headLatencyNanos time from sending the request to receiving the response head
 * @param report the load report in the response, if present
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

  /** Returns an estimate of the latency without the time spent in the target's queue. */
  long unqueuedNanos() {
    double queue =
        report.map(each -> (double) each.queued() / Math.max(1, each.slots())).orElse(0.0);
    return (long) (headLatencyNanos / Math.min(MAX_QUEUE_FACTOR, 1 + queue));
  }

  /** Returns how the outcome counts in the comparison of versions. */
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

  /** How an outcome counts in the comparison of versions. */
  enum Verdict {
    SUCCESS,
    FAILURE,
    NONE
  }
}
