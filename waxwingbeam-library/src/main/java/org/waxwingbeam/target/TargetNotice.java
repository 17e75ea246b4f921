package org.waxwingbeam.target;

/**
 * What a target states in a response about further requests of this entry instance.
 *
 * @param leaving whether the target is about to stop
 * @param restMs time for which it wants no requests, in milliseconds; 0 if it states none
 * @since 0.1.0
 */
public record TargetNotice(boolean leaving, long restMs) {
  /** A response that states nothing. */
  public static final TargetNotice NONE = new TargetNotice(false, 0);

  /** Longest time that is believed: a day, in milliseconds. */
  public static final long MAX_REST_MS = 86_400_000;

  /** Limits the time. */
  public TargetNotice {
    restMs = Math.clamp(restMs, 0, MAX_REST_MS);
  }
}
