package org.waxwingbeam.target.placement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.TargetNotice;

/** What the targets of one service have stated in their responses about further requests. */
final class TargetNotices {
  private static final EventLog LOG = new EventLog(TargetNotices.class);
  private static final long NANOS_PER_MS = 1_000_000;

  private final PlacedTargets targets;

  TargetNotices(PlacedTargets targets) {
    this.targets = targets;
  }

  /** Applies a notice; does nothing if the service does not have the target. */
  void apply(long nowNanos, TargetId target, Optional<String> instance, TargetNotice notice) {
    find(target, instance).ifPresent(each -> apply(nowNanos, each, notice));
  }

  private static void apply(long nowNanos, PlacedTarget target, TargetNotice notice) {
    StatedAvailability availability = target.availability();
    boolean wasLeaving = availability.isLeaving();
    boolean wasResting = availability.isResting(nowNanos);
    availability.apply(nowNanos, notice);
    if (!wasLeaving && availability.isLeaving()) {
      LOG.info("target-leaving", "target", target.record().getId(), "address", target.id());
    }
    if (!wasResting && availability.isResting(nowNanos)) {
      LOG.info(
          "target-resting",
          "target",
          target.record().getId(),
          "address",
          target.id(),
          "rest_ms",
          availability.restLeftNanos(nowNanos) / NANOS_PER_MS);
    }
  }

  /** Returns whether a request may still be sent to a target that was assigned to it. */
  boolean maySend(long nowNanos, TargetId target, Optional<String> instance) {
    return find(target, instance)
        .map(PlacedTarget::availability)
        .filter(each -> !each.allowsLastResort(nowNanos))
        .isEmpty();
  }

  private Optional<PlacedTarget> find(TargetId target, Optional<String> instance) {
    return targets
        .find(target)
        .filter(each -> instance.filter(id -> !id.equals(each.record().getId())).isEmpty());
  }

  /** Returns the time until the first target can be used again, if all of them rest or leave. */
  OptionalLong timeToFirstReturnMs(long nowNanos) {
    List<StatedAvailability> stated =
        targets.ready().stream().map(PlacedTarget::availability).toList();
    boolean anyAllows = stated.stream().anyMatch(each -> each.allowsRequests(nowNanos));
    return stated.stream()
        .filter(each -> !anyAllows && !each.isLeaving())
        .mapToLong(each -> each.restLeftNanos(nowNanos) / NANOS_PER_MS)
        .min();
  }
}
