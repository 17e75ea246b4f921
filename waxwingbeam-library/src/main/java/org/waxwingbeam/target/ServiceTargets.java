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
 * Holds the targets of one service as one entry instance sees them. It follows announcements, the
 * configuration, the entry view and warmth records, and partitions concurrency limits anew when one
 * of them changes.
 */
final class ServiceTargets {
  private final ServiceName service;
  private final DispatchContext context;
  private final OvercommitController overcommit;
  private final Map<TargetId, TargetState> states = new HashMap<>();
  private final Map<TargetId, TargetState> departed = new HashMap<>();
  private final Map<Optional<VersionName>, List<TargetState>> usable = new HashMap<>();
  private List<TargetAnnouncement> announced = List.of();
  private Configuration configuration = Configuration.EMPTY;
  private LeasedEntryView leased = LeasedEntryView.NONE;
  private long viewNumber = -1;
  private long warmthChanges = -1;
  private long nextStepNanos = Long.MAX_VALUE;
  private boolean strict;

  ServiceTargets(ServiceName service, DispatchContext context, OvercommitController overcommit) {
    this.service = service;
    this.context = context;
    this.overcommit = overcommit;
  }

  /** Takes in what has changed since the last call. */
  void refresh(long nowNanos) {
    List<TargetAnnouncement> latest = context.registry().targets(service);
    Configuration latestConfiguration = context.configuration().get();
    leased = context.view().get();
    strict = leased.isExclusiveAt(nowNanos);
    if (latest == announced
        && latestConfiguration.number() == configuration.number()
        && leased.view().number() == viewNumber
        && context.warmth().changeCount() == warmthChanges
        && nowNanos < nextStepNanos) {
      return;
    }
    configuration = latestConfiguration;
    context.returns().observe(configuration);
    viewNumber = leased.view().number();
    warmthChanges = context.warmth().changeCount();
    if (latest != announced) {
      replaceStates(latest);
    }
    usable.clear();
    states.values().forEach(each -> updateCold(nowNanos, each));
    partition(nowNanos);
  }

  /** Returns every target that is announced. */
  Collection<TargetState> all() {
    return states.values();
  }

  Optional<TargetState> find(TargetId target) {
    return Optional.ofNullable(states.get(target));
  }

  /** Returns the targets that may take requests for a version, or for any version if empty. */
  List<TargetState> usable(Optional<VersionName> version) {
    return usable.computeIfAbsent(version, this::findUsable);
  }

  /** Returns whether this entry instance may act strictly on its view of entry instances. */
  boolean isStrict() {
    return strict;
  }

  /** Returns the number of the configuration that applies. */
  long configurationNumber() {
    return configuration.number();
  }

  /** Returns whether a target may take one more request as far as its cold start goes. */
  boolean admits(long nowNanos, TargetState target) {
    ColdStart start = target.coldStart();
    return !start.isCold()
        || (strict
            && start.free(nowNanos, target.announcement().coldCapacity(), target.inFlight()) > 0);
  }

  private void replaceStates(List<TargetAnnouncement> latest) {
    Map<TargetId, TargetState> before = new HashMap<>(states);
    states.clear();
    latest.forEach(each -> states.put(each.target(), state(before.remove(each.target()), each)));
    departed.putAll(before);
    departed.values().removeIf(each -> each.inFlight() == 0);
    announced = latest;
  }

  private TargetState state(TargetState before, TargetAnnouncement latest) {
    TargetState known = before == null ? departed.remove(latest.target()) : before;
    if (known == null || known.announcement().bootId() != latest.bootId()) {
      return new TargetState(latest, latest.dataCentre().equals(context.settings().dataCentre()));
    }
    known.update(latest);
    return known;
  }

  private void updateCold(long nowNanos, TargetState target) {
    TargetAnnouncement announcement = target.announcement();
    long returnedWith = context.returns().returnedWith(announcement.dataCentre());
    noteReturn(announcement, returnedWith);
    boolean warm =
        announcement.state() != State.COLD
            && context.warmth().isWarm(announcement.target(), announcement.bootId(), returnedWith);
    target.coldStart().setCold(nowNanos, !warm);
    Optional<InstanceName> owner = RendezvousHash.first(target.id(), members());
    boolean owned = owner.filter(context.settings().self()::equals).isPresent();
    long fromNanos = leased.exclusiveFromNanos() + context.settings().handoverNanos();
    target.coldStart().setOwned(owned, fromNanos);
  }

  /** Records that a target which was warm before its data centre came back is cold now. */
  private void noteReturn(TargetAnnouncement announcement, long returnedWith) {
    WarmupTable warmth = context.warmth();
    if (warmth.isWarm(announcement.target(), announcement.bootId(), 0)
        && !warmth.isWarm(announcement.target(), announcement.bootId(), returnedWith)) {
      warmth.recordFinding(announcement.target(), announcement.bootId(), false, returnedWith);
    }
  }

  private void partition(long nowNanos) {
    List<InstanceName> entries = members();
    List<TargetState> targets = announced.stream().map(each -> states.get(each.target())).toList();
    overcommit.partition(nowNanos, targets, entries, context.settings().self());
    if (context.settings().policy() instanceof ChoicePolicy.FewSenders few) {
      targets.forEach(each -> each.setPreferred(isSender(each, entries, few.senders())));
    }
    nextStepNanos =
        targets.stream()
            .mapToLong(each -> each.coldStart().nextStepNanos(nowNanos))
            .min()
            .orElse(Long.MAX_VALUE);
  }

  private List<InstanceName> members() {
    return leased.view().members().stream().map(EntryView.Member::name).toList();
  }

  private boolean isSender(TargetState target, List<InstanceName> entries, int senders) {
    long own = RendezvousHash.score(target.id(), context.settings().self());
    return entries.stream().filter(each -> RendezvousHash.score(target.id(), each) > own).count()
        < senders;
  }

  private List<TargetState> findUsable(Optional<VersionName> version) {
    return announced.stream()
        .filter(each -> each.state() != State.DRAINING)
        .filter(each -> !configuration.dataCentresOut().contains(each.dataCentre()))
        .filter(each -> version.isEmpty() || version.get().equals(each.version()))
        .map(each -> states.get(each.target()))
        .toList();
  }
}
