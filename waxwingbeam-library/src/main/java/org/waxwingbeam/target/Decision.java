package org.waxwingbeam.target;

import java.util.Optional;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;

/**
 * Tells what becomes of an attempt that asked for a target.
 *
 * @since 0.1.0
 */
public sealed interface Decision {
  /** Returns the attempt that the decision is about. */
  long attemptId();

  /**
   * Gives the attempt a target. The attempt holds one place there until it is completed.
   *
   * @param attemptId the attempt
   * @param target where to send the request
   * @param version the version that the target runs
   * @param instance the identity that the target has stated, if it states one
   * @param basis what the choice was based on, if it was based on reports
   */
  record Assigned(
      long attemptId,
      TargetId target,
      VersionName version,
      Optional<String> instance,
      Optional<SelectionBasis> basis)
      implements Decision {
    /** Assigns a target that states no identity. */
    public Assigned(long attemptId, TargetId target, VersionName version) {
      this(attemptId, target, version, Optional.empty(), Optional.empty());
    }
  }

  /**
   * Says what the choice of a target was based on.
   *
   * @param outstanding requests that were probably at the target
   * @param slowness how many times as long as usual work probably took there
   * @param reportAgeMs age of its newest report in milliseconds; -1 if there is none
   * @param candidates targets that could have been chosen
   */
  record SelectionBasis(double outstanding, double slowness, long reportAgeMs, int candidates) {
    @Override
    public String toString() {
      return "outstanding=%.1f,slowness=%.1f,report_age_ms=%d,candidates=%d"
          .formatted(outstanding, slowness, reportAgeMs, candidates);
    }
  }

  /**
   * Keeps the attempt waiting. A later call to the dispatcher returns its final decision.
   *
   * @param attemptId the attempt
   */
  record Queued(long attemptId) implements Decision {}

  /**
   * Refuses the attempt. It holds nothing.
   *
   * @param attemptId the attempt
   * @param kind the reason
   * @param retryAfterMs when a caller may try again, in milliseconds
   */
  record Refused(long attemptId, ErrorKind kind, long retryAfterMs) implements Decision {}
}
