package org.waxwingbeam.target.placement;

import java.util.Optional;
import org.waxwingbeam.target.LoadReport;

/**
 * The result of a status check.
 *
 * @since 0.1.0
 */
public sealed interface ProbeResult {
  /**
   * The target has responded, with any status.
   *
   * @param instance the identity in the response, if present
   * @param load the load in the response, if present
   * @param coldLeftMs time until the target is warm, in milliseconds; 0 if it is warm
   */
  record Answered(Optional<String> instance, Optional<LoadReport> load, int coldLeftMs)
      implements ProbeResult {}

  /** No connection to the target could be opened. */
  record Unreachable() implements ProbeResult {}

  /** The target has not responded in time, or its response was malformed. */
  record Unanswered() implements ProbeResult {}
}
