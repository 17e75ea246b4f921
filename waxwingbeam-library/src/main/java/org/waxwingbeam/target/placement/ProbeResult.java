package org.waxwingbeam.target.placement;

import java.util.Optional;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.target.TargetNotice;

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
   * @param notice what the target has stated about further requests
   */
  record Answered(
      Optional<String> instance, Optional<LoadReport> load, int coldLeftMs, TargetNotice notice)
      implements ProbeResult {
    /** Creates the response of a target that states nothing about further requests. */
    public Answered(Optional<String> instance, Optional<LoadReport> load, int coldLeftMs) {
      this(instance, load, coldLeftMs, TargetNotice.NONE);
    }

    @Override
    public String toString() {
      String stated = notice.equals(TargetNotice.NONE) ? "" : ", notice=" + notice;
      return "Answered[instance=%s, load=%s, coldLeftMs=%d%s]"
          .formatted(instance, load, coldLeftMs, stated);
    }
  }

  /** No connection to the target could be opened. */
  record Unreachable() implements ProbeResult {}

  /** The target has not responded in time, or its response was malformed. */
  record Unanswered() implements ProbeResult {}
}
