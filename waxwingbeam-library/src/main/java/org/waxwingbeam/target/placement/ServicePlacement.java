package org.waxwingbeam.target.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.wire.feed.TargetRecord;
import org.waxwingbeam.wire.feed.VersionEvidence;
import org.waxwingbeam.wire.routing.RoutingState;
import org.waxwingbeam.wire.routing.ServiceMove;
import org.waxwingbeam.wire.routing.ServiceTerms;

/** Assigns the requests of one service to its targets. */
final class ServicePlacement {
  /** Retry-After of a refusal because no usable target is known. */
  private static final long NO_TARGET_RETRY_MS = 300;

  /** Retry-After of a refusal because no target can respond in time. */
  private static final long OVERLOADED_RETRY_MS = 200;

  /**
   * Targets whose status is checked for a request without fresh load reports. At the shares of slow
   * targets that are usual, all three are rarely slow.
   */
  private static final int CHECKED_CANDIDATES = 3;

  /**
   * Factor on the score of candidates with which a connection is probably open. It outweighs the
   * jitter, so that a new connection is opened only if those are worse than average.
   */
  private static final double IN_CONTACT_FACTOR = 0.9;

  /** Occupancy of the slots up to which a few targets in contact suffice; above, all are used. */
  private static final double LIGHT_OCCUPANCY = 0.3;

  /** Range of the random factor that keeps entry instances from choosing the same target. */
  private static final double JITTER = 0.1;

  private static final long NANOS_PER_MS = 1_000_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long DEFAULT_COLD_MS = 3_000;
  private static final double DEFAULT_COLD_PER_SECOND = 4;

  private final PlacementContext context;
  private final RandomGenerator random;
  private final TrafficSplit trafficSplit;
  private final PlacedTargets targets;
  private final TargetNotices notices;
  private final MoveSamples samples = new MoveSamples();
  private final ServiceAverages averages = new ServiceAverages();
  private final DataCentreAffinity affinity = new DataCentreAffinity();
  private final PendingSelections pending = new PendingSelections();

  private ServiceTerms terms =
      ServiceTerms.newBuilder()
          .setColdStartMs((int) DEFAULT_COLD_MS)
          .setColdPerSecond(DEFAULT_COLD_PER_SECOND)
          .build();
  private Optional<ServiceMove> move = Optional.empty();

  ServicePlacement(PlacementContext context) {
    this.context = context;
    targets = new PlacedTargets(context);
    notices = new TargetNotices(targets);
    random = context.random();
    trafficSplit = new TrafficSplit(random.nextDouble());
  }

  void configure(String service, RoutingState state) {
    state.getDocument().getServicesList().stream()
        .filter(each -> each.getName().equals(service))
        .findFirst()
        .ifPresent(each -> terms = each);
    move =
        state.getMovesList().stream().filter(each -> each.getService().equals(service)).findFirst();
    targets.takeOut(state.getDataCentresOutList());
  }

  void update(long nowNanos, TargetRecord record) {
    targets.update(nowNanos, record, this::coldIntervalNanos);
  }

  void applyReport(long reportNanos, TargetId target, LoadReport report) {
    targets.find(target).ifPresent(each -> each.applyReport(reportNanos, report));
  }

  void addRemoteRequests(long nowNanos, TargetId target, int requests) {
    targets.find(target).ifPresent(each -> each.addRemoteRequests(nowNanos, requests));
  }

  void markCold(long nowNanos, TargetId target, int coldLeftMs) {
    targets
        .find(target)
        .ifPresent(each -> each.markCold(nowNanos, coldLeftMs, coldIntervalNanos()));
  }

  private boolean hasStatusChecks() {
    return !terms.getHealthPath().isEmpty();
  }

  /** Returns the status checks that this entry instance is to send now, and marks them as sent. */
  List<ProbeRequest> startDueProbes(long nowNanos, ProbeAssignment assignment) {
    if (!hasStatusChecks()) {
      return List.of();
    }
    // Checks in advance are worth their cost only if all entry instances learn of the results.
    Predicate<PlacedTarget> isDue =
        context.reportsReachAll().getAsBoolean()
            ? each -> each.isProbeDue(nowNanos, assignment.rank(each.record().getId()))
            : each -> each.isTrialProbeDue(nowNanos);
    List<PlacedTarget> due = targets.inService().stream().filter(isDue).toList();
    due.forEach(each -> each.startProbe(nowNanos));
    return due.stream().map(this::probeRequest).toList();
  }

  private ProbeRequest probeRequest(PlacedTarget target) {
    return new ProbeRequest(
        target.id(), target.record().getId(), terms.getHealthPath(), terms.getConnectionLimit());
  }

  /**
   * Records the result of a status check and returns the decisions for requests that waited for it.
   */
  List<Decision> completeProbe(long nowNanos, ProbeRequest probe, ProbeResult result) {
    Optional<PlacedTarget> target =
        targets.find(probe.target()).filter(each -> each.record().getId().equals(probe.instance()));
    target.ifPresent(each -> applyProbeResult(nowNanos, each, result));
    if (result instanceof ProbeResult.Answered responded) {
      notices.apply(nowNanos, probe.target(), Optional.of(probe.instance()), responded.notice());
    }
    boolean idle = target.filter(each -> isUsableAtOnce(nowNanos, each)).isPresent();
    return decideAll(nowNanos, pending.onChecked(probe.instance(), idle));
  }

  private boolean isUsableAtOnce(long nowNanos, PlacedTarget target) {
    return target.isReady() && !target.isCold(nowNanos) && target.isIdle(nowNanos);
  }

  /** Returns what the targets have stated in their responses. */
  TargetNotices notices() {
    return notices;
  }

  /** Returns the decisions for requests that have waited long enough for status checks. */
  List<Decision> tick(long nowNanos) {
    return decideAll(nowNanos, pending.takeDue(nowNanos));
  }

  /** Removes a request that waits for status checks. */
  void cancel(long attemptId) {
    pending.cancel(attemptId);
  }

  private List<Decision> decideAll(long nowNanos, List<PendingSelections.Pending> due) {
    return due.stream()
        .map(each -> decide(nowNanos, each.request(), targets.ready(), each.version()))
        .toList();
  }

  private void applyProbeResult(long nowNanos, PlacedTarget target, ProbeResult result) {
    target.completeProbe(
        nowNanos, result, terms.getColdStartMs() * NANOS_PER_MS, coldIntervalNanos());
    if (result instanceof ProbeResult.Answered responded) {
      responded.load().ifPresent(each -> context.loadListener().onReport(target.id(), each));
      responded.load().ifPresent(each -> averages.recordReport(each, target.inFlight()));
      if (responded.coldLeftMs() > 0) {
        context.loadListener().onColdTarget(target.id(), responded.coldLeftMs());
      }
    }
  }

  private long coldIntervalNanos() {
    int senders =
        targets.subset().map(TargetSubset::maxLocalSenders).orElse(context.fleetSize().getAsInt());
    return ColdTargetPacer.intervalNanos(terms.getColdPerSecond(), senders);
  }

  /**
   * Returns the average time between two checks of a target, with which all entry instances that
   * use it together stay within the checks that it allows.
   */
  private long checkIntervalNanos() {
    int senders =
        targets.subset().map(TargetSubset::maxSenders).orElse(context.fleetSize().getAsInt());
    return (long) (NANOS_PER_SECOND * senders / context.checksPerSecond());
  }

  /**
   * Assigns a request to a target, refuses it if no target can respond in time, or queues it until
   * some targets have responded to a status check.
   */
  Decision request(long nowNanos, DispatchRequest request) {
    List<PlacedTarget> ready = targets.ready();
    Predicate<String> version =
        trafficSplit.nextVersions(move, ready, context.stoppedMoves().isStopped(move));
    List<PlacedTarget> awaited =
        hasStatusChecks() && targets.subset().isPresent()
            ? candidatesToCheck(nowNanos, request, ready, version)
            : List.of();
    if (awaited.isEmpty()) {
      return decide(nowNanos, request, ready, version);
    }
    pending.add(
        nowNanos, request, version, awaited.stream().map(each -> each.record().getId()).toList());
    List<PlacedTarget> unchecked =
        awaited.stream().filter(each -> !each.isProbeInFlight()).toList();
    unchecked.forEach(each -> each.startRequestedProbe(nowNanos, checkIntervalNanos()));
    unchecked.stream().map(this::probeRequest).forEach(context.probeSender());
    return new Decision.Queued(request.attemptId(), Optional.of(PendingSelections.MAX_WAIT_NANOS));
  }

  /**
   * Returns the best targets without a fresh report, or none if one of the best is known to be
   * idle.
   */
  private List<PlacedTarget> candidatesToCheck(
      long nowNanos, DispatchRequest request, List<PlacedTarget> ready, Predicate<String> version) {
    List<PlacedTarget> candidates =
        eligible(nowNanos, request, ready, version)
            .filter(each -> !each.isCold(nowNanos))
            .filter(each -> each.failureTracker().isUsable(nowNanos, true))
            .map(each -> new Ranked(each, checkScore(nowNanos, request, each)))
            .sorted(Comparator.comparingDouble(Ranked::score))
            .limit(CHECKED_CANDIDATES)
            .map(Ranked::target)
            .toList();
    if (candidates.stream().anyMatch(each -> each.isIdle(nowNanos))) {
      return List.of();
    }
    return candidates.stream()
        .filter(each -> !each.hasFreshReport(nowNanos))
        .filter(each -> each.isCheckPossible(nowNanos))
        .toList();
  }

  private double checkScore(long nowNanos, DispatchRequest request, PlacedTarget target) {
    double score = jitteredScore(nowNanos, request, target);
    boolean light = averages.requestsOfOthers() < LIGHT_OCCUPANCY * target.slots();
    return light && target.isInContact(nowNanos) ? score * IN_CONTACT_FACTOR : score;
  }

  private Decision decide(
      long nowNanos, DispatchRequest request, List<PlacedTarget> ready, Predicate<String> version) {
    Selection selection = select(nowNanos, request, ready, version);
    return switch (selection) {
      case Selection.NoTarget noTarget ->
          new Decision.Refused(
              request.attemptId(),
              ErrorKind.NO_TARGET,
              notices.timeToFirstReturnMs(nowNanos).orElse(NO_TARGET_RETRY_MS));
      case Selection.Selected selected when isAdmitted(nowNanos, request, selected.target()) ->
          assign(nowNanos, request, selected);
      case Selection.Selected selected -> refuseOverloaded(request);
    };
  }

  private boolean isAdmitted(long nowNanos, DispatchRequest request, PlacedTarget target) {
    Admission.Candidate candidate =
        new Admission.Candidate(
            target.outstanding(nowNanos, averages.requestsOfOthers()),
            target.slots(),
            predictedNanos(nowNanos, request, target));
    return Admission.admits(
        candidate,
        request.responseGoalNanos() - nowNanos,
        request.deadlineNanos() - nowNanos,
        request.hedge());
  }

  /** The result of the search for the best target of a request. */
  private sealed interface Selection {
    /** The best target, and the number of targets that were considered. */
    record Selected(PlacedTarget target, int candidates) implements Selection {}

    /** No target may serve the request. */
    record NoTarget() implements Selection {}
  }

  private Selection select(
      long nowNanos, DispatchRequest request, List<PlacedTarget> ready, Predicate<String> version) {
    return best(nowNanos, request, ready, version)
        .or(() -> best(nowNanos, request, ready, this::isProven))
        .or(() -> bestLeaving(nowNanos, request, ready, version))
        .<Selection>map(each -> new Selection.Selected(each, ready.size()))
        .orElseGet(Selection.NoTarget::new);
  }

  /** Returns the best of the targets that are about to stop but still serve what others cannot. */
  private Optional<PlacedTarget> bestLeaving(
      long nowNanos, DispatchRequest request, List<PlacedTarget> ready, Predicate<String> version) {
    return lowestScore(
        nowNanos,
        request,
        ready.stream()
            .filter(each -> each.availability().allowsLastResort(nowNanos))
            .filter(each -> isAllowed(nowNanos, each, request, version)));
  }

  private static boolean isAllowed(
      long nowNanos, PlacedTarget target, DispatchRequest request, Predicate<String> version) {
    return target.isReady()
        && version.test(target.record().getVersion())
        && !request.excluded().contains(target.id())
        && target.allowsRequest(nowNanos);
  }

  private Decision assign(long nowNanos, DispatchRequest request, Selection.Selected selected) {
    PlacedTarget target = selected.target();
    Decision.SelectionBasis basis =
        new Decision.SelectionBasis(
            target.outstanding(nowNanos, averages.requestsOfOthers()),
            target.slowness(nowNanos, averages.slowness()),
            target.reportAgeMs(nowNanos),
            selected.candidates());
    target.startRequest(nowNanos, coldIntervalNanos());
    context.loadListener().onRequestSent(target.id());
    return new Decision.Assigned(
        request.attemptId(),
        target.id(),
        target.version(),
        Optional.of(target.record().getId()),
        Optional.of(basis));
  }

  private static Decision refuseOverloaded(DispatchRequest request) {
    return new Decision.Refused(request.attemptId(), ErrorKind.OVERLOADED, OVERLOADED_RETRY_MS);
  }

  /** Returns whether a version may serve a request for which the selected version has no target. */
  private boolean isProven(String version) {
    return move.map(each -> isProvenBy(each, version)).orElse(false);
  }

  private static boolean isProvenBy(ServiceMove move, String version) {
    boolean isNew = move.getTo().equals(version);
    return isNew == (move.getState() == ServiceMove.State.DONE);
  }

  /**
   * Returns the best target that is known to be idle, in a large fleet. There an estimate without a
   * recent report may be better than one with it, but only by chance.
   */
  private Optional<PlacedTarget> bestIdle(
      long nowNanos, DispatchRequest request, List<PlacedTarget> usable) {
    return targets.subset().isEmpty()
        ? Optional.empty()
        : lowestScore(
            nowNanos, request, usable.stream().filter(each -> isUsableAtOnce(nowNanos, each)));
  }

  private Optional<PlacedTarget> best(
      long nowNanos, DispatchRequest request, List<PlacedTarget> ready, Predicate<String> version) {
    List<PlacedTarget> eligible = eligible(nowNanos, request, ready, version).toList();
    boolean checked = hasStatusChecks();
    List<PlacedTarget> usable =
        eligible.stream()
            .filter(each -> each.failureTracker().isUsable(nowNanos, checked))
            .toList();
    return bestIdle(nowNanos, request, usable)
        .or(() -> lowestScore(nowNanos, request, usable.stream()))
        .or(
            () ->
                eligible.stream()
                    .min(
                        Comparator.comparingLong(
                            each -> each.failureTracker().pausedUntilNanos())));
  }

  /**
   * Returns the targets that may serve a request: the usable ones of the subset or, if there are
   * none, all that are not cold.
   */
  private Stream<PlacedTarget> eligible(
      long nowNanos, DispatchRequest request, List<PlacedTarget> ready, Predicate<String> version) {
    Predicate<PlacedTarget> allowed =
        each ->
            each.availability().allowsRequests(nowNanos)
                && isAllowed(nowNanos, each, request, version);
    Optional<TargetSubset> own = targets.subset();
    if (own.isEmpty()) {
      return ready.stream().filter(allowed);
    }
    List<PlacedTarget> preferred =
        targets.readyIn(own.get()).stream()
            .filter(allowed)
            .filter(each -> isInSubset(nowNanos, each, own.get()))
            .filter(each -> each.failureTracker().isUsable(nowNanos, hasStatusChecks()))
            .toList();
    return preferred.isEmpty()
        ? ready.stream().filter(allowed).filter(each -> !each.isCold(nowNanos))
        : preferred.stream();
  }

  // A cold target is paced for the entry instances that have it in their local subset.
  private static boolean isInSubset(long nowNanos, PlacedTarget target, TargetSubset subset) {
    String id = target.record().getId();
    return target.isCold(nowNanos) ? subset.containsLocally(id) : subset.contains(id);
  }

  private Optional<PlacedTarget> lowestScore(
      long nowNanos, DispatchRequest request, Stream<PlacedTarget> candidates) {
    return candidates
        .map(each -> new Ranked(each, jitteredScore(nowNanos, request, each)))
        .min(Comparator.comparingDouble(Ranked::score))
        .map(Ranked::target);
  }

  private record Ranked(PlacedTarget target, double score) {}

  private double jitteredScore(long nowNanos, DispatchRequest request, PlacedTarget target) {
    double jitter = 1 + JITTER * random.nextDouble();
    boolean local = target.record().getDataCentre().equals(context.dataCentre());
    double distance =
        local ? 1 : affinity.factor(request.route(), context.reportsReachAll().getAsBoolean());
    return score(nowNanos, target).score() * jitter * distance;
  }

  private TargetScore score(long nowNanos, PlacedTarget target) {
    return new TargetScore(
        target.outstanding(nowNanos, averages.requestsOfOthers()),
        target.slots(),
        target.slowness(nowNanos, averages.slowness()),
        target.failureTracker().failureShare());
  }

  private double predictedNanos(long nowNanos, DispatchRequest request, PlacedTarget target) {
    double usual = averages.usualNanos(request.route()).orElse(0.0);
    return usual * score(nowNanos, target).predictedTime();
  }

  /** Records the end of an attempt. */
  void complete(long nowNanos, DispatchRequest request, Completion completion) {
    targets
        .find(completion.target())
        .ifPresent(
            target -> {
              recordCompletion(nowNanos, request, target, completion);
              completion
                  .loadReport()
                  .ifPresent(report -> context.loadListener().onReport(target.id(), report));
              target.completeRequest(
                  nowNanos, completion, terms.getColdStartMs() * NANOS_PER_MS, coldIntervalNanos());
            });
  }

  private void recordCompletion(
      long nowNanos, DispatchRequest request, PlacedTarget target, Completion completion) {
    completion
        .loadReport()
        .ifPresent(report -> averages.recordReport(report, target.inFlight() - 1));
    samples.record(
        nowNanos,
        move,
        target.version().value(),
        completion,
        expectedNanos(nowNanos, request, target));
    if (completion.outcome() == AttemptOutcome.SUCCESS) {
      affinity.record(request.route(), completion.transferredBytes());
      averages.recordResponse(
          request.route(),
          completion.headLatencyNanos(),
          target.slowness(nowNanos, averages.slowness()));
    }
  }

  /** Returns the usual response time of the route, scaled by the current slowness of the target. */
  private double expectedNanos(long nowNanos, DispatchRequest request, PlacedTarget target) {
    double usual = averages.usualNanos(request.route()).orElse(Double.MAX_VALUE);
    return usual * target.slowness(nowNanos, averages.slowness());
  }

  /** Returns the counts of the running move, or empty if no report is due. */
  Optional<VersionEvidence> reportSamples(long nowNanos) {
    return samples.report(nowNanos, move);
  }

  /** Returns the number of targets that accept requests. */
  long readyTargetCount() {
    return targets.readyCount();
  }
}
