package org.waxwingbeam.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.TargetAnnouncement.State;

/**
 * Gives the attempts for one service their targets. Callers hold this object's lock; within it only
 * the locks of the registry, of {@link DataCentreReinstatements} and of the version selector are
 * taken.
 */
final class ServiceDispatcher {
  private static final long NO_TARGET_RETRY_MS = 1_000;
  private static final long OVERLOADED_RETRY_MS = 200;

  private final ServiceName service;
  private final DispatchContext context;
  private final TargetSelector chooser;
  private final OvercommitController overcommit;
  private final ServiceTargets targets;
  private final MedianLatencyEstimator typical = new MedianLatencyEstimator();
  private final WaitingQueue queue = new WaitingQueue();
  private final List<Decision> undelivered = new ArrayList<>();

  ServiceDispatcher(ServiceName service, DispatchContext context) {
    this.service = service;
    this.context = context;
    long seed = context.settings().seed() ^ service.value().hashCode();
    this.chooser = new TargetSelector(context.settings().policy(), new SplittableRandom(seed));
    this.overcommit = new OvercommitController(context.settings().policy());
    this.targets = new ServiceTargets(service, context, overcommit);
  }

  Decision request(long nowNanos, Attempt attempt) {
    targets.refresh(nowNanos);
    if (targets.usable(attempt.version()).isEmpty()) {
      return refusal(attempt, ErrorKind.NO_TARGET, NO_TARGET_RETRY_MS);
    }
    if (queue.isEmpty() && tryBind(nowNanos, attempt)) {
      return assignment(attempt);
    }
    return enqueue(attempt);
  }

  List<Decision> complete(long nowNanos, Attempt attempt, Completion completion) {
    targets.refresh(nowNanos);
    attempt.target().ifPresent(target -> noteEnd(nowNanos, attempt, target, completion));
    return assignWaiting(nowNanos);
  }

  void noteProbe(long nowNanos, TargetId target, LoadReport report, long latencyNanos) {
    targets.refresh(nowNanos);
    targets
        .find(target)
        .ifPresent(
            state -> {
              state.noteReport(nowNanos, report);
              state.noteLatency(nowNanos, (double) latencyNanos);
            });
  }

  void noteOutstanding(InstanceName entry, Map<TargetId, Integer> outstanding) {
    targets
        .all()
        .forEach(state -> state.noteElsewhere(entry, outstanding.getOrDefault(state.id(), 0)));
  }

  Map<TargetId, Integer> outstanding() {
    return targets.all().stream().collect(Collectors.toMap(TargetState::id, TargetState::inFlight));
  }

  void cancel(Attempt attempt) {
    queue.remove(attempt);
  }

  List<Decision> tick(long nowNanos) {
    targets.refresh(nowNanos);
    queue
        .removeOverdue(nowNanos)
        .forEach(each -> undelivered.add(refusal(each, ErrorKind.DEADLINE_BEFORE_START, 0)));
    return assignWaiting(nowNanos);
  }

  /** Declares the cold targets warm that this entry owns and that nothing speaks against. */
  void sweep(long nowNanos) {
    targets.refresh(nowNanos);
    targets.all().stream()
        .filter(each -> each.announcement().state() == State.WARM)
        .filter(each -> targets.isStrict())
        .filter(each -> each.coldStart().isLongUncontested(nowNanos, typical.leastNanos()))
        .toList()
        .forEach(each -> noteWarmth(each, true));
  }

  /** Returns whether decisions may become final without a new request or completion. */
  boolean isWaiting() {
    return !queue.isEmpty() || !undelivered.isEmpty();
  }

  private void noteEnd(long nowNanos, Attempt attempt, TargetState target, Completion completion) {
    target.end(attempt.boundNanos());
    completion.loadReport().ifPresent(report -> target.noteReport(nowNanos, report));
    double latency = completion.headLatencyNanos();
    target.health().note(nowNanos, completion.outcome(), latency, typical.nanos());
    if (completion.outcome() == AttemptOutcome.SUCCESS) {
      target.noteLatency(nowNanos, latency);
    }
    if (completion.outcome() == AttemptOutcome.REFUSED_DRAINING) {
      context.registry().markDraining(target.id(), attempt.boundBootId());
      targets.refresh(nowNanos);
    }
    if (target.coldStart().isCold()) {
      noteEndWhileCold(nowNanos, target, completion);
    } else {
      noteEndWhileWarm(nowNanos, target, completion);
    }
  }

  private void noteEndWhileCold(long nowNanos, TargetState target, Completion completion) {
    switch (completion.outcome()) {
      case SUCCESS -> {
        double latency = completion.headLatencyNanos();
        boolean answersWarm = target.coldStart().showsWarm(latency, typical.leastNanos());
        if (answersWarm && target.announcement().state() == State.WARM) {
          noteWarmth(target, true);
        }
      }
      case CANCELLED, TIMED_OUT, CONNECTION_LOST -> target.coldStart().occupy(nowNanos);
      default -> {} // nothing of the request is left at the target
    }
  }

  private void noteEndWhileWarm(long nowNanos, TargetState target, Completion completion) {
    double latency = completion.headLatencyNanos();
    switch (completion.outcome()) {
      case SUCCESS -> {
        if (target.coldStart().showsCold(nowNanos, latency, typical.nanos())) {
          noteWarmth(target, false);
        }
        typical.note(latency);
      }
      case REFUSED_COLD -> noteWarmth(target, false);
      default -> {} // tells nothing about a cold start
    }
  }

  private void noteWarmth(TargetState target, boolean warm) {
    context
        .warmth()
        .recordFinding(
            target.id(), target.announcement().bootId(), warm, targets.configurationNumber());
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
    targets.refresh(nowNanos);
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
            admissible(nowNanos, targets.usable(acceptedVersion(nowNanos, attempt))),
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

  /** Returns the attempt's version, selected anew if it was stopped while the attempt waited. */
  private Optional<VersionName> acceptedVersion(long nowNanos, Attempt attempt) {
    Optional<VersionName> version = attempt.version();
    if (version.isPresent() && !context.versions().accepts(nowNanos, service, version.get())) {
      attempt.reselect(context.versions().selectRetry(nowNanos, service));
    }
    return attempt.version();
  }

  private List<TargetState> admissible(long nowNanos, List<TargetState> usable) {
    boolean allAdmit = true;
    for (TargetState target : usable) {
      allAdmit &= targets.admits(nowNanos, target);
    }
    return allAdmit
        ? usable
        : usable.stream().filter(target -> targets.admits(nowNanos, target)).toList();
  }

  private static Decision assignment(Attempt attempt) {
    TargetAnnouncement target = attempt.target().orElseThrow().announcement();
    return new Decision.Assigned(attempt.request().attemptId(), target.target(), target.version());
  }

  private Decision refusal(Attempt attempt, ErrorKind kind, long retryAfterMs) {
    context.attempts().remove(attempt.request().attemptId());
    return new Decision.Refused(attempt.request().attemptId(), kind, retryAfterMs);
  }
}
