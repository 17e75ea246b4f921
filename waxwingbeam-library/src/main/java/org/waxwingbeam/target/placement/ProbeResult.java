package org.waxwingbeam.target.placement;

import java.util.Optional;
import org.waxwingbeam.target.LoadReport;

/**
 * Tells how a status check has ended.
 *
 * @since 0.1.0
 */
public sealed interface ProbeResult {
  /**
   * The target has answered, whatever it says of its health.
   *
   * @param instance the identity that it states, if it states one
   * @param load its load, if it states one
   * @param coldLeftMs how much longer it is cold, in milliseconds; 0 if it is warm
   */
  record Responded(Optional<String> instance, Optional<LoadReport> load, int coldLeftMs)
      implements ProbeResult {}

  /** No connection to the target could be opened. */
  record Unreachable() implements ProbeResult {}

  /** The target has not answered in time, or not with an answer that can be read. */
  record NoResponse() implements ProbeResult {}
}
