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

  /** Factor by which requests at a cold target take longer than usual. */
  private static final double COLD_SLOWNESS = 2;

  private final TargetId id;
  private final VersionName version;
  private final LoadEstimate load = new LoadEstimate();
  private final FailureTracker trust = new FailureTracker();
  private final ColdTargetPacer pacer;
  private final ProbeSchedule probes;
  private final long createdNanos;
  private TargetRecord record;
  private boolean misplaced;
  private int inFlight;

  PlacedTarget(long nowNanos, TargetRecord record, PlacementContext context) {
    createdNanos = nowNanos;
    this.record = record;
    id = new TargetId(record.getHost(), record.getPort());
    version = new VersionName(record.getVersion());
    pacer = new ColdTargetPacer(context.random());
    probes = new ProbeSchedule(context.checksPerSecond());
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
    misplaced &= announced.getStartedMs() == record.getStartedMs();
    record = announced;
    noteCold(nowNanos, announced.getColdLeftMs(), coldIntervalNanos);
  }

  /** Returns whether the target accepts new requests according to its latest announcement. */
  boolean isReady() {
    return record.getState() == TargetRecord.State.READY && !misplaced;
  }

  boolean isCold(long nowNanos) {
    return pacer.isCold(nowNanos);
  }

  boolean mayTake(long nowNanos) {
    return pacer.mayTake(nowNanos);
  }

  FailureTracker trust() {
    return trust;
  }

  void begin(long nowNanos, long coldIntervalNanos) {
    inFlight++;
    pacer.take(nowNanos, coldIntervalNanos);
  }

  /**
   * Records the end of an attempt.
   *
   * @param coldNanos how long the target is cold if it has restarted
   */
  void end(long nowNanos, Completion completion, long coldNanos, long coldIntervalNanos) {
    inFlight = Math.max(0, inFlight - 1);
    trust.note(nowNanos, completion.outcome());
    noteUnreachable(nowNanos, coldNanos, coldIntervalNanos);
    completion.loadReport().ifPresent(report -> load.note(nowNanos, report, inFlight));
    if (completion.outcome() == AttemptOutcome.REFUSED_WRONG_TARGET) {
      misplaced = true;
    }
    if (completion.outcome() == AttemptOutcome.REFUSED_OVERLOADED) {
      noteFull(nowNanos, completion);
    }
  }

  /** Treats an unreachable target as cold: it may have restarted without announcing it yet. */
  private void noteUnreachable(long nowNanos, long coldNanos, long coldIntervalNanos) {
    if (trust.takeUnreachable()) {
      pacer.chill(nowNanos, trust.pausedUntilNanos() + coldNanos, coldIntervalNanos);
    }
  }

  /**
   * Returns whether this entry instance is to send a status check to the target now.
   *
   * @param rank number of entry instances that are to check the target before this one
   */
  boolean isProbeDue(long nowNanos, int rank) {
    if (trust.isTrialDue(nowNanos)) {
      return probes.mayCheckAgain(nowNanos);
    }
    long ageNanos = load.reportAgeNanos(nowNanos).orElse(nowNanos - createdNanos);
    return isReady()
        && trust.isUsable(nowNanos, true)
        && !pacer.isCold(nowNanos)
        && probes.isDue(nowNanos, ageNanos, rank);
  }

  void beginProbe(long nowNanos) {
    probes.begin(nowNanos);
  }

  /**
   * Records the result of a status check.
   *
   * @param coldNanos how long the target is cold if it has restarted
   */
  void endProbe(long nowNanos, ProbeResult result, long coldNanos, long coldIntervalNanos) {
    probes.end();
    switch (result) {
      case ProbeResult.Responded answered -> {
        trust.noteReached();
        misplaced |= answered.instance().filter(each -> !each.equals(record.getId())).isPresent();
        answered.load().ifPresent(each -> load.note(nowNanos, each, inFlight));
        noteCold(nowNanos, answered.coldLeftMs(), coldIntervalNanos);
      }
      case ProbeResult.Unreachable unreachable -> {
        trust.note(nowNanos, AttemptOutcome.CONNECT_FAILED);
        noteUnreachable(nowNanos, coldNanos, coldIntervalNanos);
      }
      case ProbeResult.NoResponse unanswered -> trust.recordNoResponse(nowNanos);
    }
  }

  /** Marks the target as cold if the time left is greater than 0. */
  void noteCold(long nowNanos, long coldLeftMs, long coldIntervalNanos) {
    if (coldLeftMs > 0) {
      pacer.chill(nowNanos, nowNanos + coldLeftMs * NANOS_PER_MS, coldIntervalNanos);
    }
  }

  private void noteFull(long nowNanos, Completion completion) {
    int slowness =
        completion
            .loadReport()
            .map(LoadReport::slownessPercent)
            .orElse(LoadReport.USUAL_SLOWNESS_PERCENT);
    LoadReport full = new LoadReport(slots() + inFlight, ASSUMED_QUEUE, slots(), slowness);
    load.note(nowNanos, full, inFlight);
  }

  /** Applies a load report that another entry instance has received. */
  void noteReport(long reportNanos, LoadReport report) {
    load.note(reportNanos, report, inFlight);
  }

  /** Adds requests that another entry instance has sent to the target. */
  void noteBegun(long nowNanos, int requests) {
    load.noteBegun(nowNanos, requests);
  }

  int slots() {
    return Math.max(1, record.getSlots());
  }

  /** Returns the estimated number of requests at the target. */
  double outstanding(long nowNanos, double averageOthers) {
    return inFlight + load.others(nowNanos, averageOthers);
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
