package org.waxwingbeam.target;

import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;

/**
 * Announcement in which a target describes itself.
 *
 * @param service the service that it belongs to
 * @param target the address on which it accepts requests
 * @param version the version that it runs
 * @param dataCentre the data centre in which it runs
 * @param bootId identifies the start of the target's process; greater after each start
 * @param slots requests that it can run concurrently
 * @param coldCapacity requests that it can run concurrently in a cold start, at most {@code slots}
 * @param state the state that it announces
 * @param timeToLiveMs time for which the announcement is valid unless it is repeated, in
 *     milliseconds
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
  /** Maximum number of slots of a target. */
  public static final int MAX_SLOTS = 10_000;

  /** Minimum time to live, in milliseconds. */
  public static final long MIN_TIME_TO_LIVE_MS = 100;

  /** Maximum time to live, in milliseconds. */
  public static final long MAX_TIME_TO_LIVE_MS = 600_000;

  /** State that a target announces. */
  public enum State {
    /** The target has just started and can run only as many requests as its cold capacity. */
    COLD,
    /** The target can run as many requests as it has slots. */
    WARM,
    /** The target is shutting down and accepts no new requests. */
    DRAINING
  }

  /** Returns a copy with another state. */
  public TargetAnnouncement withState(State other) {
    return new TargetAnnouncement(
        service, target, version, dataCentre, bootId, slots, coldCapacity, other, timeToLiveMs);
  }
}
