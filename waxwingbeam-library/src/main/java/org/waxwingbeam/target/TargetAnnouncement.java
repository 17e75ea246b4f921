package org.waxwingbeam.target;

import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;

/**
 * Holds what a target says of itself.
 *
 * @param service the service that it belongs to
 * @param target the address on which it takes requests
 * @param version the version that it runs
 * @param dataCentre where it runs
 * @param bootId greater after each start of the target's process
 * @param slots requests that it can run at once
 * @param coldCapacity requests that it can run at once in a cold start, at most {@code slots}
 * @param state what it says of its state
 * @param timeToLiveMs how long the announcement holds if it is not repeated, in milliseconds
 * @since 0.1.0
 */
public record TargetAnnouncement(
    ServiceName service,
    TargetId target,
    VersionName version,
    DataCentreName dataCentre,
    long bootId,
    int slots,
    int coldCapacity,
    State state,
    long timeToLiveMs) {
  /** Most slots that a target may have. */
  public static final int MAX_SLOTS = 10_000;

  /** Shortest time to live, in milliseconds. */
  public static final long MIN_TIME_TO_LIVE_MS = 100;

  /** Longest time to live, in milliseconds. */
  public static final long MAX_TIME_TO_LIVE_MS = 600_000;

  /** Tells what a target says of its state. */
  public enum State {
    /** It has just started and can carry only its cold capacity. */
    COLD,
    /** It can carry all of its slots. */
    WARM,
    /** It is shutting down and takes no new requests. */
    DRAINING
  }

  /** Returns a copy with another state. */
  public TargetAnnouncement withState(State other) {
    return new TargetAnnouncement(
        service, target, version, dataCentre, bootId, slots, coldCapacity, other, timeToLiveMs);
  }
}
