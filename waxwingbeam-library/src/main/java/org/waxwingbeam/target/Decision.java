package org.waxwingbeam.target;

import java.util.Optional;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;

/**
 * Decision of a {@link Dispatcher} on an attempt that requested a target.
 *
 * @since 0.1.0
 */
public sealed interface Decision {
  /** Returns the id of the attempt. */
  long attemptId();

  /**
   * Assigns a target. The attempt counts against the target's concurrency limit until it is
   * completed.
   *
   * @param attemptId the attempt
   * @param target where to send the request
   * @param version the version that the target runs
   * @param instance the identity that the target has reported, if any
   * @param basis the inputs of the choice, if it was based on load reports
   */
  record Assigned(
      long attemptId,
      TargetId target,
      VersionName version,
      Optional<String> instance,
      Optional<SelectionBasis> basis)
      implements Decision {
    /** Assigns a target that has reported no identity. */
    public Assigned(long attemptId, TargetId target, VersionName version) {
      this(attemptId, target, version, Optional.empty(), Optional.empty());
    }
  }

  /**
   * Inputs on which the choice of a target was based.
   *
   * @param outstanding estimated number of requests at the target
   * @param slowness estimated service time at the target, as a multiple of the usual one
   * @param reportAgeMs age of its latest load report in milliseconds; -1 if there is none
   * @param candidates number of targets that could have been chosen
   */
  record SelectionBasis(double outstanding, double slowness, long reportAgeMs, int candidates) {
    @Override
    public String toString() {
      return "outstanding=%.1f,slowness=%.1f,report_age_ms=%d,candidates=%d"
          .formatted(outstanding, slowness, reportAgeMs, candidates);
    }
  }

  /**
   * Queues the attempt. A later call to the dispatcher returns its final decision.
   *
   * @param attemptId the attempt
   * @param tickAfterNanos time after which {@link Dispatcher#tick} must be called for this attempt,
   *     if it is not called periodically
   */
  record Queued(long attemptId, Optional<Long> tickAfterNanos) implements Decision {
    /** Queues an attempt for which no call is needed. */
    public Queued(long attemptId) {
      this(attemptId, Optional.empty());
    }
  }

  /**
   * Refuses the attempt, which then counts against no limit.
   *
   * @param attemptId the attempt
   * @param kind the reason
   * @param retryAfterMs time after which the caller may retry, in milliseconds
   */
  record Refused(long attemptId, ErrorKind kind, long retryAfterMs) implements Decision {}
}
