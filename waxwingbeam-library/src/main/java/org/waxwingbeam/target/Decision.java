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
   */
  record Assigned(long attemptId, TargetId target, VersionName version, Optional<String> instance)
      implements Decision {
    /** Assigns a target that states no identity. */
    public Assigned(long attemptId, TargetId target, VersionName version) {
      this(attemptId, target, version, Optional.empty());
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
