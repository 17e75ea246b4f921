package org.waxwingbeam.target.placement;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.waxwingbeam.wire.feed.TargetRecord;

/** Keeps the subset of a service's targets that this entry instance uses in a large fleet. */
final class SubsetCache {
  private final PlacementContext context;
  private Optional<TargetSubset> subset = Optional.empty();
  private List<PlacedTarget> ready = List.of();
  private List<PlacedTarget> readyMembers = List.of();
  private int fleetSize;

  SubsetCache(PlacementContext context) {
    this.context = context;
  }

  /** Must be called when the targets have changed. */
  void invalidate() {
    subset = Optional.empty();
    ready = List.of();
    readyMembers = List.of();
  }

  /**
   * Returns the subset, or empty if this entry instance uses all targets.
   *
   * @param targets all targets of the service
   */
  Optional<TargetSubset> current(Collection<PlacedTarget> targets) {
    if (context.reportsReachAll().getAsBoolean()) {
      return Optional.empty();
    }
    int size = context.fleetSize().getAsInt();
    if (subset.isEmpty() || fleetSize != size) {
      invalidate();
      fleetSize = size;
      subset =
          Optional.of(
              TargetSubset.of(describe(targets), context.instance(), context.dataCentre(), size));
    }
    return subset;
  }

  private static List<TargetSubset.Member> describe(Collection<PlacedTarget> targets) {
    return targets.stream()
        .map(PlacedTarget::record)
        .filter(each -> each.getState() == TargetRecord.State.READY)
        .map(each -> new TargetSubset.Member(each.getId(), each.getDataCentre()))
        .toList();
  }

  /**
   * Returns those of the given targets that the latest subset contains.
   *
   * @param targets an immutable list
   */
  List<PlacedTarget> members(List<PlacedTarget> targets) {
    if (targets != ready) {
      ready = targets;
      readyMembers =
          targets.stream()
              .filter(each -> subset.filter(one -> one.contains(each.record().getId())).isPresent())
              .toList();
    }
    return readyMembers;
  }
}
