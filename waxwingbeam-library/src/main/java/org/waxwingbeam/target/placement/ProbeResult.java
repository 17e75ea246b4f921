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
  record Responded(Optional<String> instance, Optional<LoadReport> load, int coldLeftMs)
      implements ProbeResult {
    /** Keeps the text that the log shows for the result of a status check. */
    @Override
    public String toString() {
      return "Answered[instance=%s, load=%s, coldLeftMs=%s]".formatted(instance, load, coldLeftMs);
    }
  }

  /** No connection to the target could be opened. */
  record Unreachable() implements ProbeResult {}

  /** The target has not responded in time, or its response was malformed. */
  record NoResponse() implements ProbeResult {
    /** Keeps the text that the log shows for the result of a status check. */
    @Override
    public String toString() {
      return "Unanswered[]";
    }
  }
}
