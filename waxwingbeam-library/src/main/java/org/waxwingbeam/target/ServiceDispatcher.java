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
 * Assigns targets to the attempts for one service. Callers must hold this object's lock; while it
 * is held, only the locks of the registry, of {@link DataCentreReinstatements} and of the version
 * selector are acquired.
 */
final class ServiceDispatcher {
  private static final long NO_TARGET_RETRY_MS = 1_000;
  private static final long OVERLOADED_RETRY_MS = 200;

  private final ServiceName service;
  private final DispatchContext context;
  private final TargetSelector selector;
  private final OvercommitController overcommit;
  private final ServiceTargets targets;
  private final MedianLatencyEstimator typicalLatency = new MedianLatencyEstimator();
  private final WaitingQueue queue = new WaitingQueue();
  private final List<Decision> pendingDecisions = new ArrayList<>();

  ServiceDispatcher(ServiceName service, DispatchContext context) {
    this.service = service;
    this.context = context;
    long seed = context.settings().seed() ^ service.value().hashCode();
    this.selector = new TargetSelector(context.settings().policy(), new SplittableRandom(seed));
    this.overcommit = new OvercommitController(context.settings().policy());
    this.targets = new ServiceTargets(service, context, overcommit);
  }

  Decision request(long nowNanos, Attempt attempt) {
    targets.refresh(nowNanos);
    if (targets.eligible(attempt.version()).isEmpty()) {
      return refusal(attempt, ErrorKind.NO_TARGET, NO_TARGET_RETRY_MS);
    }
    if (queue.isEmpty() && tryAssign(nowNanos, attempt)) {
      return assignment(attempt);
    }
    return enqueue(attempt);
  }

  List<Decision> complete(long nowNanos, Attempt attempt, Completion completion) {
    targets.refresh(nowNanos);
    attempt.target().ifPresent(target -> recordCompletion(nowNanos, attempt, target, completion));
    return assignWaiting(nowNanos);
  }

  void recordProbe(long nowNanos, TargetId target, LoadReport report, long latencyNanos) {
    targets.refresh(nowNanos);
    targets
        .find(target)
        .ifPresent(
            state -> {
              state.recordLoadReport(nowNanos, report);
              state.recordLatency(nowNanos, (double) latencyNanos);
            });
  }

  void recordPeerOutstanding(InstanceName entry, Map<TargetId, Integer> outstanding) {
    targets
        .all()
        .forEach(
            state -> state.recordPeerOutstanding(entry, outstanding.getOrDefault(state.id(), 0)));
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
        .forEach(each -> pendingDecisions.add(refusal(each, ErrorKind.DEADLINE_BEFORE_START, 0)));
    return assignWaiting(nowNanos);
  }

  /**
   * Declares the cold targets warm that announce themselves as warm and that this entry instance,
   * as their owner, may presume to be warm.
   */
  void declarePresumedWarm(long nowNanos) {
    targets.refresh(nowNanos);
    targets.all().stream()
        .filter(each -> each.announcement().state() == State.WARM)
        .filter(each -> targets.isViewExclusive())
        .filter(each -> each.coldStart().isPresumedWarm(nowNanos, typicalLatency.lowestNanos()))
        .toList()
        .forEach(each -> recordWarmup(each, true));
  }

  /** Returns whether decisions may become final without a new request or completion. */
  boolean isWaiting() {
    return !queue.isEmpty() || !pendingDecisions.isEmpty();
  }

  private void recordCompletion(
      long nowNanos, Attempt attempt, TargetState target, Completion completion) {
    target.endAttempt(attempt.assignedNanos());
    completion.loadReport().ifPresent(report -> target.recordLoadReport(nowNanos, report));
    double latency = completion.headLatencyNanos();
    target.health().recordOutcome(nowNanos, completion.outcome(), latency, typicalLatency.nanos());
    if (completion.outcome() == AttemptOutcome.SUCCESS) {
      target.recordLatency(nowNanos, latency);
    }
    if (completion.outcome() == AttemptOutcome.REFUSED_DRAINING) {
      context.registry().markDraining(target.id(), attempt.assignedBootId());
      targets.refresh(nowNanos);
    }
    if (target.coldStart().isCold()) {
      recordCompletionWhileCold(nowNanos, target, completion);
    } else {
      recordCompletionWhileWarm(nowNanos, target, completion);
    }
  }

  private void recordCompletionWhileCold(long nowNanos, TargetState target, Completion completion) {
    switch (completion.outcome()) {
      case SUCCESS -> {
        double latency = completion.headLatencyNanos();
        boolean isWarm = target.coldStart().recordWhileCold(latency, typicalLatency.lowestNanos());
        if (isWarm && target.announcement().state() == State.WARM) {
          recordWarmup(target, true);
        }
      }
      case CANCELLED, TIMED_OUT, CONNECTION_LOST ->
          target.coldStart().reserveForCancelled(nowNanos);
      default -> {} // the request is not running at the target
    }
  }

  private void recordCompletionWhileWarm(long nowNanos, TargetState target, Completion completion) {
    double latency = completion.headLatencyNanos();
    switch (completion.outcome()) {
      case SUCCESS -> {
        if (target.coldStart().recordWhileWarm(nowNanos, latency, typicalLatency.nanos())) {
          recordWarmup(target, false);
        }
        typicalLatency.addSample(latency);
      }
      case REFUSED_COLD -> recordWarmup(target, false);
      default -> {} // no sign of a cold start
    }
  }

  private void recordWarmup(TargetState target, boolean warm) {
    context
        .warmupTable()
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
        each -> pendingDecisions.add(refusal(each, ErrorKind.OVERLOADED, OVERLOADED_RETRY_MS)));
    return new Decision.Queued(attempt.request().attemptId());
  }

  private List<Decision> assignWaiting(long nowNanos) {
    overcommit.adapt(nowNanos, queue.size());
    targets.refresh(nowNanos);
    Optional<Attempt> next = queue.poll(each -> tryAssign(nowNanos, each));
    while (next.isPresent()) {
      pendingDecisions.add(assignment(next.get()));
      next = queue.poll(each -> tryAssign(nowNanos, each));
    }
    List<Decision> decisions = List.copyOf(pendingDecisions);
    pendingDecisions.clear();
    return decisions;
  }

  private boolean tryAssign(long nowNanos, Attempt attempt) {
    Optional<TargetState> chosen =
        selector.choose(
            nowNanos,
            admissible(nowNanos, targets.eligible(acceptedVersion(nowNanos, attempt))),
            attempt.request().excluded(),
            overcommit.level(),
            typicalLatency.nanos());
    chosen.ifPresent(
        target -> {
          target.beginAttempt(nowNanos);
          attempt.assign(nowNanos, target);
        });
    return chosen.isPresent();
  }

  /**
   * Returns the attempt's version, after selecting another one if the version stopped accepting
   * requests while the attempt waited.
   */
  private Optional<VersionName> acceptedVersion(long nowNanos, Attempt attempt) {
    Optional<VersionName> version = attempt.version();
    if (version.isPresent() && !context.versions().accepts(nowNanos, service, version.get())) {
      attempt.setVersion(context.versions().selectRetry(nowNanos, service));
    }
    return attempt.version();
  }

  private List<TargetState> admissible(long nowNanos, List<TargetState> eligible) {
    boolean allAdmit = true;
    for (TargetState target : eligible) {
      allAdmit &= targets.coldStartAdmits(nowNanos, target);
    }
    return allAdmit
        ? eligible
        : eligible.stream().filter(target -> targets.coldStartAdmits(nowNanos, target)).toList();
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
