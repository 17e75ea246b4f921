package org.waxwingbeam.target.placement;

import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.wire.feed.TargetRecord;

/** The state that this entry instance keeps for one target: load, failures, cold start, probes. */
final class PlacedTarget {
  private static final long NANOS_PER_MS = 1_000_000;

  /** Queue length that is assumed for a target that has refused a request as overloaded. */
  private static final int ASSUMED_QUEUE = 4;

  /** Time for which targets usually keep idle connections open, at least. */
  private static final long CONTACT_LIFETIME_NANOS = 8_000 * NANOS_PER_MS;

  /** Reported slowness up to which a target runs at about its usual speed. */
  private static final double IDLE_SLOWNESS = 1.3;

  /** Factor by which requests at a cold target take longer than usual. */
  private static final double COLD_SLOWNESS = 2;

  private final TargetId id;
  private final VersionName version;
  private final LoadEstimate load = new LoadEstimate();
  private final FailureTracker failureTracker = new FailureTracker();
  private final ColdTargetPacer pacer;
  private final ProbeSchedule probes;
  private final CheckBudget checkBudget = new CheckBudget();
  private final StatedAvailability availability;
  private final long createdNanos;
  private TargetRecord record;
  private boolean addressReused;
  private int inFlight;

  PlacedTarget(long nowNanos, TargetRecord record, PlacementContext context) {
    createdNanos = nowNanos;
    this.record = record;
    id = new TargetId(record.getHost(), record.getPort());
    version = new VersionName(record.getVersion());
    pacer = new ColdTargetPacer(context.random());
    probes = new ProbeSchedule(context.checksPerSecond());
    availability = new StatedAvailability(context.random(), context.leaveGraceNanos());
  }

  TargetId id() {
    return id;
  }

  VersionName version() {
    return version;
  }

  TargetRecord record() {
    return record;
  }

  int inFlight() {
    return inFlight;
  }

  /** Applies the latest announcement of the target. */
  void update(long nowNanos, TargetRecord announced, long coldIntervalNanos) {
    addressReused &= announced.getStartedMs() == record.getStartedMs();
    record = announced;
    markCold(nowNanos, announced.getColdLeftMs(), coldIntervalNanos);
  }

  /** Returns whether the target accepts new requests according to its latest announcement. */
  boolean isReady() {
    return record.getState() == TargetRecord.State.READY && !addressReused;
  }

  /** Returns what this start of the target has stated in its responses. */
  StatedAvailability availability() {
    return availability;
  }

  boolean isCold(long nowNanos) {
    return pacer.isCold(nowNanos);
  }

  boolean allowsRequest(long nowNanos) {
    return pacer.allowsRequest(nowNanos);
  }

  FailureTracker failureTracker() {
    return failureTracker;
  }

  void startRequest(long nowNanos, long coldIntervalNanos) {
    inFlight++;
    pacer.recordRequest(nowNanos, coldIntervalNanos);
  }

  /**
   * Records the end of an attempt.
   *
   * @param coldNanos how long the target is cold if it has restarted
   */
  void completeRequest(
      long nowNanos, Completion completion, long coldNanos, long coldIntervalNanos) {
    inFlight = Math.max(0, inFlight - 1);
    failureTracker.recordOutcome(nowNanos, completion.outcome());
    markColdIfUnreachable(nowNanos, coldNanos, coldIntervalNanos);
    completion.loadReport().ifPresent(report -> load.applyReport(nowNanos, report, inFlight));
    if (completion.outcome() == AttemptOutcome.REFUSED_WRONG_TARGET) {
      addressReused = true;
    }
    if (completion.outcome() == AttemptOutcome.REFUSED_OVERLOADED) {
      assumeFull(nowNanos, completion);
    }
  }

  /** Treats an unreachable target as cold: it may have restarted without announcing it yet. */
  private void markColdIfUnreachable(long nowNanos, long coldNanos, long coldIntervalNanos) {
    if (failureTracker.takeUnreachable()) {
      pacer.startPacing(nowNanos, failureTracker.pausedUntilNanos() + coldNanos, coldIntervalNanos);
    }
  }

  /**
   * Returns whether this entry instance is to send a status check to the target now.
   *
   * @param rank number of entry instances that are to check the target before this one
   */
  boolean isProbeDue(long nowNanos, int rank) {
    if (!availability.allowsRequests(nowNanos)) {
      return false;
    }
    if (failureTracker.isTrialDue(nowNanos)) {
      return probes.mayCheckAgain(nowNanos);
    }
    long ageNanos = load.reportAgeNanos(nowNanos).orElse(nowNanos - createdNanos);
    return isReady()
        && failureTracker.isUsable(nowNanos, true)
        && !pacer.isCold(nowNanos)
        && probes.isDue(nowNanos, ageNanos, rank);
  }

  /** Returns whether the target is paused and a status check may end its pause. */
  boolean isTrialProbeDue(long nowNanos) {
    return availability.allowsRequests(nowNanos)
        && failureTracker.isTrialDue(nowNanos)
        && probes.mayCheckAgain(nowNanos);
  }

  /** Returns whether the latest load report still describes the target. */
  boolean hasFreshReport(long nowNanos) {
    return load.reportAgeNanos(nowNanos).filter(ProbeSchedule::isFresh).isPresent();
  }

  /** Returns whether a connection that has carried the latest load report is probably open. */
  boolean isInContact(long nowNanos) {
    return load.reportAgeNanos(nowNanos).filter(age -> age < CONTACT_LIFETIME_NANOS).isPresent();
  }

  /** Returns whether a request may wait for a status check: an outstanding one or a new one. */
  boolean isCheckPossible(long nowNanos) {
    return probes.isInFlight() || checkBudget.allows(nowNanos);
  }

  /**
   * Records that a status check is sent for a request.
   *
   * @param intervalNanos average time between two such checks of this entry instance
   */
  void startRequestedProbe(long nowNanos, long intervalNanos) {
    checkBudget.record(nowNanos, intervalNanos);
    startProbe(nowNanos);
  }

  /** Returns whether the response to a status check is outstanding. */
  boolean isProbeInFlight() {
    return probes.isInFlight();
  }

  /** Returns whether the target can run one more request at its usual speed at once. */
  boolean isIdle(long nowNanos) {
    return hasFreshReport(nowNanos)
        && load.slowness(nowNanos, 1) <= IDLE_SLOWNESS
        && inFlight + load.requestsOfOthers(nowNanos, 0) + 1 < slots();
  }

  void startProbe(long nowNanos) {
    probes.recordStart(nowNanos);
  }

  /**
   * Records the result of a status check.
   *
   * @param coldNanos how long the target is cold if it has restarted
   */
  void completeProbe(long nowNanos, ProbeResult result, long coldNanos, long coldIntervalNanos) {
    probes.recordEnd();
    switch (result) {
      case ProbeResult.Answered responded -> {
        failureTracker.endPause();
        addressReused |=
            responded.instance().filter(each -> !each.equals(record.getId())).isPresent();
        responded.load().ifPresent(each -> load.applyReport(nowNanos, each, inFlight));
        markCold(nowNanos, responded.coldLeftMs(), coldIntervalNanos);
      }
      case ProbeResult.Unreachable unreachable -> {
        failureTracker.recordOutcome(nowNanos, AttemptOutcome.CONNECT_FAILED);
        markColdIfUnreachable(nowNanos, coldNanos, coldIntervalNanos);
      }
      case ProbeResult.Unanswered unanswered -> failureTracker.recordNoResponse(nowNanos);
    }
  }

  /** Marks the target as cold if the time left is greater than 0. */
  void markCold(long nowNanos, long coldLeftMs, long coldIntervalNanos) {
    if (coldLeftMs > 0) {
      pacer.startPacing(nowNanos, nowNanos + coldLeftMs * NANOS_PER_MS, coldIntervalNanos);
    }
  }

  private void assumeFull(long nowNanos, Completion completion) {
    int slowness =
        completion
            .loadReport()
            .map(LoadReport::slownessPercent)
            .orElse(LoadReport.USUAL_SLOWNESS_PERCENT);
    LoadReport full = new LoadReport(slots() + inFlight, ASSUMED_QUEUE, slots(), slowness);
    load.applyReport(nowNanos, full, inFlight);
  }

  /** Applies a load report that another entry instance has received. */
  void applyReport(long reportNanos, LoadReport report) {
    load.applyReport(reportNanos, report, inFlight);
  }

  /** Adds requests that another entry instance has sent to the target. */
  void addRemoteRequests(long nowNanos, int requests) {
    load.addRemoteRequests(nowNanos, requests);
  }

  int slots() {
    return Math.max(1, record.getSlots());
  }

  /** Returns the estimated number of requests at the target. */
  double outstanding(long nowNanos, double averageRequestsOfOthers) {
    return inFlight + load.requestsOfOthers(nowNanos, averageRequestsOfOthers);
  }

  /** Returns the age of the latest load report in milliseconds, or -1 if there is none. */
  long reportAgeMs(long nowNanos) {
    return load.reportAgeNanos(nowNanos).map(each -> each / NANOS_PER_MS).orElse(-1L);
  }

  /** Returns the estimated slowness: 1 at the usual speed, 2 if requests take twice as long. */
  double slowness(long nowNanos, double average) {
    double reported = load.slowness(nowNanos, average);
    return pacer.isCold(nowNanos) ? reported * COLD_SLOWNESS : reported;
  }
}
