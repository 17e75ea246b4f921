package org.waxwingbeam.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.ErrorKind;
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
  private final WaitingQueue queue = new WaitingQueue();
  private final Map<TargetId, TargetState> states = new HashMap<>();
  private final Map<Optional<VersionName>, List<TargetState>> usable = new HashMap<>();
  private final List<Decision> undelivered = new ArrayList<>();
  private List<TargetAnnouncement> announced = List.of();
  private Configuration configuration = Configuration.EMPTY;

  ServiceDispatcher(ServiceName service, DispatchContext context) {
    this.service = service;
    this.context = context;
    long seed = context.seed() ^ service.value().hashCode();
    this.chooser = new Chooser(context.policy(), new SplittableRandom(seed));
  }

  Decision request(Attempt attempt) {
    refresh();
    List<TargetState> targets = usable(attempt.version());
    if (targets.isEmpty()) {
      return refusal(attempt, ErrorKind.NO_TARGET, NO_TARGET_RETRY_MS);
    }
    if (queue.isEmpty() && tryBind(attempt)) {
      return assignment(attempt);
    }
    return enqueue(attempt);
  }

  List<Decision> complete(Attempt attempt) {
    refresh();
    attempt.target().ifPresent(TargetState::end);
    return assignWaiting();
  }

  void cancel(Attempt attempt) {
    queue.remove(attempt);
  }

  List<Decision> tick(long nowNanos) {
    refresh();
    queue
        .removeOverdue(nowNanos)
        .forEach(each -> undelivered.add(refusal(each, ErrorKind.DEADLINE_BEFORE_START, 0)));
    return assignWaiting();
  }

  /** Returns whether decisions may become final without a new request or completion. */
  boolean isWaiting() {
    return !queue.isEmpty() || !undelivered.isEmpty();
  }

  private Decision enqueue(Attempt attempt) {
    Optional<Attempt> shed = queue.add(attempt, attempt.request().queueLimit());
    if (shed.isPresent() && shed.get() == attempt) {
      return refusal(attempt, ErrorKind.OVERLOADED, OVERLOADED_RETRY_MS);
    }
    shed.ifPresent(
        each -> undelivered.add(refusal(each, ErrorKind.OVERLOADED, OVERLOADED_RETRY_MS)));
    return new Decision.Queued(attempt.request().attemptId());
  }

  private List<Decision> assignWaiting() {
    Optional<Attempt> next = queue.poll(this::tryBind);
    while (next.isPresent()) {
      undelivered.add(assignment(next.get()));
      next = queue.poll(this::tryBind);
    }
    List<Decision> decisions = List.copyOf(undelivered);
    undelivered.clear();
    return decisions;
  }

  private boolean tryBind(Attempt attempt) {
    Optional<TargetState> chosen =
        chooser.choose(usable(attempt.version()), attempt.request().excluded());
    chosen.ifPresent(
        target -> {
          target.begin();
          attempt.bind(target);
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
    if (latest == announced && latestConfiguration.number() == configuration.number()) {
      return;
    }
    announced = latest;
    configuration = latestConfiguration;
    Map<TargetId, TargetState> before = new HashMap<>(states);
    states.clear();
    latest.forEach(each -> states.put(each.target(), state(before.get(each.target()), each)));
    usable.clear();
  }

  private static TargetState state(TargetState before, TargetAnnouncement latest) {
    if (before == null || before.announcement().bootId() != latest.bootId()) {
      return new TargetState(latest);
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
