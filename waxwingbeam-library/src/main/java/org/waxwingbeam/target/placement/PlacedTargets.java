package org.waxwingbeam.target.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.wire.feed.TargetRecord;

/**
 * The targets of one service, and which of them this entry instance uses. What follows from their
 * announcements is kept until one changes.
 */
final class PlacedTargets {
  private final PlacementContext context;
  private final Map<String, PlacedTarget> byId = new HashMap<>();
  private Map<TargetId, PlacedTarget> byAddress = Map.of();
  private Set<String> dataCentresOut = Set.of();
  private Optional<List<PlacedTarget>> ready = Optional.empty();
  private Optional<TargetSubset> subset = Optional.empty();
  private Optional<List<PlacedTarget>> readyInSubset = Optional.empty();
  private int fleetSize;

  PlacedTargets(PlacementContext context) {
    this.context = context;
  }

  /** Sets the data centres that operators have taken out. */
  void takeOut(Collection<String> dataCentres) {
    dataCentresOut = Set.copyOf(dataCentres);
    ready = Optional.empty();
    readyInSubset = Optional.empty();
  }

  /**
   * Applies an announcement.
   *
   * @param coldIntervalNanos returns the time between two requests to a cold target
   */
  void update(long nowNanos, TargetRecord record, LongSupplier coldIntervalNanos) {
    if (record.getState() == TargetRecord.State.GONE) {
      byId.remove(record.getId());
    } else {
      store(nowNanos, record).update(nowNanos, record, coldIntervalNanos.getAsLong());
    }
    ready = Optional.empty();
    subset = Optional.empty();
    readyInSubset = Optional.empty();
    byAddress =
        byId.values().stream()
            .collect(Collectors.toMap(PlacedTarget::id, each -> each, (one, other) -> other));
  }

  private PlacedTarget store(long nowNanos, TargetRecord record) {
    PlacedTarget known = byId.get(record.getId());
    boolean replaced =
        known == null
            || !known.id().equals(new TargetId(record.getHost(), record.getPort()))
            || known.record().getStartedMs() != record.getStartedMs()
            || !known.version().value().equals(record.getVersion());
    if (!replaced) {
      return known;
    }
    byId.values().removeIf(each -> isReplacedBy(each, record));
    PlacedTarget created = new PlacedTarget(nowNanos, record, context);
    byId.put(record.getId(), created);
    return created;
  }

  private static boolean isReplacedBy(PlacedTarget target, TargetRecord record) {
    return target.record().getPort() == record.getPort()
        && target.record().getHost().equals(record.getHost());
  }

  Optional<PlacedTarget> find(TargetId id) {
    return Optional.ofNullable(byAddress.get(id));
  }

  /** Returns the targets that are not in a data centre that was taken out. */
  List<PlacedTarget> inService() {
    return byId.values().stream()
        .filter(each -> !dataCentresOut.contains(each.record().getDataCentre()))
        .toList();
  }

  /** Returns the targets in service that are announced as ready. */
  List<PlacedTarget> ready() {
    if (ready.isEmpty()) {
      ready = Optional.of(inService().stream().filter(PlacedTarget::isReady).toList());
    }
    return ready.get();
  }

  /** Returns the targets that this entry instance uses, or empty if it uses all of them. */
  Optional<TargetSubset> subset() {
    if (context.reportsReachAll().getAsBoolean()) {
      return Optional.empty();
    }
    int size = context.fleetSize().getAsInt();
    if (subset.isEmpty() || fleetSize != size) {
      fleetSize = size;
      readyInSubset = Optional.empty();
      subset =
          Optional.of(
              TargetSubset.of(members(), context.instance(), context.dataCentre(), fleetSize));
    }
    return subset;
  }

  // Includes those of data centres that were taken out, so that their return changes no subset.
  private List<TargetSubset.Member> members() {
    return byId.values().stream()
        .map(PlacedTarget::record)
        .filter(each -> each.getState() == TargetRecord.State.READY)
        .map(each -> new TargetSubset.Member(each.getId(), each.getDataCentre()))
        .toList();
  }

  /**
   * Returns those of {@link #ready} that a subset contains.
   *
   * @param own the current subset
   */
  List<PlacedTarget> readyIn(TargetSubset own) {
    if (readyInSubset.isEmpty()) {
      readyInSubset =
          Optional.of(
              ready().stream().filter(each -> own.contains(each.record().getId())).toList());
    }
    return readyInSubset.get();
  }

  /** Returns the number of targets that accept requests. */
  long readyCount() {
    return byId.values().stream().filter(PlacedTarget::isReady).count();
  }
}
