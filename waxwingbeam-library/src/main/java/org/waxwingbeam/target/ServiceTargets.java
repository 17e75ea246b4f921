package org.waxwingbeam.target;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.control.LeasedEntryView;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.TargetAnnouncement.State;

/**
 * State of the targets of one service at one entry instance. It is derived from the announcements,
 * the configuration, the entry view and the warm-up states; when one of them changes, the
 * concurrency limits are partitioned again.
 */
final class ServiceTargets {
  private final ServiceName service;
  private final DispatchContext context;
  private final OvercommitController overcommit;
  private final Map<TargetId, TargetState> states = new HashMap<>();
  private final Map<TargetId, TargetState> departed = new HashMap<>();
  private final Map<Optional<VersionName>, List<TargetState>> eligibleByVersion = new HashMap<>();
  private List<TargetAnnouncement> announced = List.of();
  private Configuration configuration = Configuration.EMPTY;
  private LeasedEntryView leasedView = LeasedEntryView.NONE;
  private long viewNumber = -1;
  private long seenWarmupChanges = -1;
  private long nextRampStepNanos = Long.MAX_VALUE;
  private boolean viewExclusive;

  ServiceTargets(ServiceName service, DispatchContext context, OvercommitController overcommit) {
    this.service = service;
    this.context = context;
    this.overcommit = overcommit;
  }

  /**
   * Applies the changes of announcements, configuration, entry view and warm-up states since the
   * last call.
   */
  void refresh(long nowNanos) {
    List<TargetAnnouncement> latest = context.registry().targets(service);
    Configuration latestConfiguration = context.configuration().get();
    leasedView = context.view().get();
    viewExclusive = leasedView.isExclusiveAt(nowNanos);
    if (latest == announced
        && latestConfiguration.number() == configuration.number()
        && leasedView.view().number() == viewNumber
        && context.warmupTable().changeCount() == seenWarmupChanges
        && nowNanos < nextRampStepNanos) {
      return;
    }
    configuration = latestConfiguration;
    context.reinstatements().update(configuration);
    viewNumber = leasedView.view().number();
    seenWarmupChanges = context.warmupTable().changeCount();
    if (latest != announced) {
      replaceStates(latest);
    }
    eligibleByVersion.clear();
    states.values().forEach(each -> updateCold(nowNanos, each));
    partition(nowNanos);
  }

  /** Returns every announced target. */
  Collection<TargetState> all() {
    return states.values();
  }

  Optional<TargetState> find(TargetId target) {
    return Optional.ofNullable(states.get(target));
  }

  /**
   * Returns the targets that are eligible for requests to a version, or to any version if empty.
   */
  List<TargetState> eligible(Optional<VersionName> version) {
    return eligibleByVersion.computeIfAbsent(version, this::findEligible);
  }

  /**
   * Returns whether this entry instance may rely on its entry view for exclusive ownership of cold
   * targets, see {@link LeasedEntryView}.
   */
  boolean isViewExclusive() {
    return viewExclusive;
  }

  /** Returns the number of the configuration that applies. */
  long configurationNumber() {
    return configuration.number();
  }

  /** Returns whether a target's cold start allows one more request to it. */
  boolean coldStartAdmits(long nowNanos, TargetState target) {
    ColdStart start = target.coldStart();
    return !start.isCold()
        || (viewExclusive
            && start.remainingCapacity(
                    nowNanos, target.announcement().coldCapacity(), target.inFlight())
                > 0);
  }

  private void replaceStates(List<TargetAnnouncement> latest) {
    Map<TargetId, TargetState> previous = new HashMap<>(states);
    states.clear();
    latest.forEach(each -> states.put(each.target(), state(previous.remove(each.target()), each)));
    departed.putAll(previous);
    departed.values().removeIf(each -> each.inFlight() == 0);
    announced = latest;
  }

  private TargetState state(TargetState previous, TargetAnnouncement latest) {
    TargetState known = previous == null ? departed.remove(latest.target()) : previous;
    if (known == null || known.announcement().bootId() != latest.bootId()) {
      return new TargetState(latest, latest.dataCentre().equals(context.settings().dataCentre()));
    }
    known.update(latest);
    return known;
  }

  private void updateCold(long nowNanos, TargetState target) {
    TargetAnnouncement announcement = target.announcement();
    long reinstatedBy = context.reinstatements().reinstatedBy(announcement.dataCentre());
    recordColdAfterReinstatement(announcement, reinstatedBy);
    boolean warm =
        announcement.state() != State.COLD
            && context
                .warmupTable()
                .isWarm(announcement.target(), announcement.bootId(), reinstatedBy);
    target.coldStart().setCold(nowNanos, !warm);
    Optional<InstanceName> owner = RendezvousHash.first(target.id(), members());
    boolean owned = owner.filter(context.settings().self()::equals).isPresent();
    long fromNanos = leasedView.exclusiveFromNanos() + context.settings().handoverNanos();
    target.coldStart().setOwned(owned, fromNanos);
  }

  /**
   * Records as cold a target that was found warm before its data centre was put back into service.
   */
  private void recordColdAfterReinstatement(TargetAnnouncement announcement, long reinstatedBy) {
    WarmupTable warmupTable = context.warmupTable();
    if (warmupTable.isWarm(announcement.target(), announcement.bootId(), 0)
        && !warmupTable.isWarm(announcement.target(), announcement.bootId(), reinstatedBy)) {
      warmupTable.recordFinding(announcement.target(), announcement.bootId(), false, reinstatedBy);
    }
  }

  private void partition(long nowNanos) {
    List<InstanceName> entries = members();
    List<TargetState> targets = announced.stream().map(each -> states.get(each.target())).toList();
    overcommit.partition(nowNanos, targets, entries, context.settings().self());
    if (context.settings().policy() instanceof ChoicePolicy.FewSenders few) {
      targets.forEach(each -> each.setPreferred(isSender(each, entries, few.senders())));
    }
    nextRampStepNanos =
        targets.stream()
            .mapToLong(each -> each.coldStart().nextRampStepNanos(nowNanos))
            .min()
            .orElse(Long.MAX_VALUE);
  }

  private List<InstanceName> members() {
    return leasedView.view().members().stream().map(EntryView.Member::name).toList();
  }

  private boolean isSender(TargetState target, List<InstanceName> entries, int senders) {
    long own = RendezvousHash.weight(target.id(), context.settings().self());
    return entries.stream().filter(each -> RendezvousHash.weight(target.id(), each) > own).count()
        < senders;
  }

  private List<TargetState> findEligible(Optional<VersionName> version) {
    return announced.stream()
        .filter(each -> each.state() != State.DRAINING)
        .filter(each -> !configuration.dataCentresOut().contains(each.dataCentre()))
        .filter(each -> version.isEmpty() || version.get().equals(each.version()))
        .map(each -> states.get(each.target()))
        .toList();
  }
}
