package org.waxwingbeam.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.TargetAnnouncement.State;

/**
 * Gives the attempts for one service their targets. Callers hold this object's lock; no other lock
 * of the package is taken within it but the registry's.
 */
final class ServiceDispatcher {
  private static final long NO_TARGET_RETRY_MS = 1_000;
  private static final long OVERLOADED_RETRY_MS = 200;

  private final ServiceName service;
  private final DispatchContext context;
  private final Chooser chooser;
  private final Overcommit overcommit;
  private final TypicalLatency typical = new TypicalLatency();
  private final WaitingQueue queue = new WaitingQueue();
  private final Map<TargetId, TargetState> states = new HashMap<>();
  private final Map<Optional<VersionName>, List<TargetState>> usable = new HashMap<>();
  private final List<Decision> undelivered = new ArrayList<>();
  private List<TargetAnnouncement> announced = List.of();
  private Configuration configuration = Configuration.EMPTY;
  private EntryView view = EntryView.EMPTY;

  ServiceDispatcher(ServiceName service, DispatchContext context) {
    this.service = service;
    this.context = context;
    long seed = context.settings().seed() ^ service.value().hashCode();
    this.chooser = new Chooser(context.settings().policy(), new SplittableRandom(seed));
    this.overcommit = new Overcommit(context.settings().policy());
  }

  Decision request(long nowNanos, Attempt attempt) {
    refresh();
    if (usable(attempt.version()).isEmpty()) {
      return refusal(attempt, ErrorKind.NO_TARGET, NO_TARGET_RETRY_MS);
    }
    if (queue.isEmpty() && tryBind(nowNanos, attempt)) {
      return assignment(attempt);
    }
    return enqueue(attempt);
  }

  List<Decision> complete(long nowNanos, Attempt attempt, Completion completion) {
    refresh();
    attempt.target().ifPresent(target -> noteEnd(nowNanos, attempt, target, completion));
    return assignWaiting(nowNanos);
  }

  void noteProbe(long nowNanos, TargetId target, LoadReport report, long latencyNanos) {
    refresh();
    Optional.ofNullable(states.get(target))
        .ifPresent(
            state -> {
              state.noteReport(nowNanos, report);
              state.noteLatency(nowNanos, (double) latencyNanos);
            });
  }

  void noteOutstanding(InstanceName entry, Map<TargetId, Integer> outstanding) {
    refresh();
    states.forEach(
        (target, state) -> state.noteElsewhere(entry, outstanding.getOrDefault(target, 0)));
  }

  Map<TargetId, Integer> outstanding() {
    refresh();
    return states.values().stream()
        .collect(Collectors.toMap(TargetState::id, TargetState::inFlight));
  }

  void cancel(Attempt attempt) {
    queue.remove(attempt);
  }

  List<Decision> tick(long nowNanos) {
    refresh();
    queue
        .removeOverdue(nowNanos)
        .forEach(each -> undelivered.add(refusal(each, ErrorKind.DEADLINE_BEFORE_START, 0)));
    return assignWaiting(nowNanos);
  }

  /** Returns whether decisions may become final without a new request or completion. */
  boolean isWaiting() {
    return !queue.isEmpty() || !undelivered.isEmpty();
  }

  private void noteEnd(long nowNanos, Attempt attempt, TargetState target, Completion completion) {
    target.end(attempt.boundNanos());
    completion.report().ifPresent(report -> target.noteReport(nowNanos, report));
    double latency = completion.headLatencyNanos();
    target.health().note(nowNanos, completion.outcome(), latency, typical.nanos());
    if (completion.outcome() == Outcome.SUCCESS) {
      target.noteLatency(nowNanos, latency);
      typical.note(latency);
    }
  }

  private Decision enqueue(Attempt attempt) {
    if (attempt.request().queueLimit() == 0) {
      return refusal(attempt, ErrorKind.OVERLOADED, OVERLOADED_RETRY_MS);
    }
    Optional<Attempt> shed = queue.add(attempt, attempt.request().queueLimit());
    if (shed.isPresent() && shed.get() == attempt) {
      return refusal(attempt, ErrorKind.OVERLOADED, OVERLOADED_RETRY_MS);
    }
    shed.ifPresent(
        each -> undelivered.add(refusal(each, ErrorKind.OVERLOADED, OVERLOADED_RETRY_MS)));
    return new Decision.Queued(attempt.request().attemptId());
  }

  private List<Decision> assignWaiting(long nowNanos) {
    overcommit.adapt(nowNanos, queue.size());
    Optional<Attempt> next = queue.poll(each -> tryBind(nowNanos, each));
    while (next.isPresent()) {
      undelivered.add(assignment(next.get()));
      next = queue.poll(each -> tryBind(nowNanos, each));
    }
    List<Decision> decisions = List.copyOf(undelivered);
    undelivered.clear();
    return decisions;
  }

  private boolean tryBind(long nowNanos, Attempt attempt) {
    Optional<TargetState> chosen =
        chooser.choose(
            nowNanos,
            usable(attempt.version()),
            attempt.request().excluded(),
            overcommit.level(),
            typical.nanos());
    chosen.ifPresent(
        target -> {
          target.begin(nowNanos);
          attempt.bind(nowNanos, target);
        });
    return chosen.isPresent();
  }

  private static Decision assignment(Attempt attempt) {
    TargetAnnouncement target = attempt.target().orElseThrow().announcement();
    return new Decision.Assigned(attempt.request().attemptId(), target.target(), target.version());
  }

  private Decision refusal(Attempt attempt, ErrorKind kind, long retryAfterMs) {
    context.attempts().remove(attempt.request().attemptId());
    return new Decision.Refused(attempt.request().attemptId(), kind, retryAfterMs);
  }

  private void refresh() {
    List<TargetAnnouncement> latest = context.registry().targets(service);
    Configuration latestConfiguration = context.configuration().get();
    EntryView latestView = context.view().get().view();
    if (latest == announced
        && latestConfiguration.number() == configuration.number()
        && latestView.number() == view.number()) {
      return;
    }
    announced = latest;
    configuration = latestConfiguration;
    view = latestView;
    Map<TargetId, TargetState> before = new HashMap<>(states);
    states.clear();
    latest.forEach(each -> states.put(each.target(), state(before.get(each.target()), each)));
    usable.clear();
    partition();
  }

  private void partition() {
    List<InstanceName> entries = view.members().stream().map(EntryView.Member::name).toList();
    List<TargetState> targets = announced.stream().map(each -> states.get(each.target())).toList();
    overcommit.partition(targets, entries, context.settings().self());
    if (context.settings().policy() instanceof ChoicePolicy.FewSenders few) {
      targets.forEach(each -> each.setPreferred(isSender(each, entries, few.senders())));
    }
  }

  private boolean isSender(TargetState target, List<InstanceName> entries, int senders) {
    InstanceName self = context.settings().self();
    long own = RendezvousHash.score(target.id(), self);
    return entries.stream().filter(each -> RendezvousHash.score(target.id(), each) > own).count()
        < senders;
  }

  private TargetState state(TargetState before, TargetAnnouncement latest) {
    if (before == null || before.announcement().bootId() != latest.bootId()) {
      return new TargetState(latest, latest.dataCentre().equals(context.settings().dataCentre()));
    }
    before.update(latest);
    return before;
  }

  private List<TargetState> usable(Optional<VersionName> version) {
    return usable.computeIfAbsent(version, this::findUsable);
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
