package org.waxwingbeam.target.placement;

import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.wire.feed.TargetRecord;

/** One target as this entry instance sees it. */
final class PlacedTarget {
  private static final long NANOS_PER_MS = 1_000_000;

  /** Requests that wait at a target that has refused one for want of room. */
  private static final int ASSUMED_QUEUE = 4;

  /** How many times as long as usual work takes at a cold target. */
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

  /** Takes in what the target has said of itself. */
  void update(long nowNanos, TargetRecord said, long coldIntervalNanos) {
    misplaced &= said.getStartedMs() == record.getStartedMs();
    record = said;
    noteCold(nowNanos, said.getColdLeftMs(), coldIntervalNanos);
  }

  /** Returns whether the target takes new requests, as far as it has said. */
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
   * Takes in the end of an attempt.
   *
   * @param coldNanos how long the target is cold if it has been started anew
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

  /** A target that could not be reached may have been started anew without saying so yet. */
  private void noteUnreachable(long nowNanos, long coldNanos, long coldIntervalNanos) {
    if (trust.takeUnreachable()) {
      pacer.chill(nowNanos, trust.pausedUntilNanos() + coldNanos, coldIntervalNanos);
    }
  }

  /**
   * Returns whether the status of the target is to be checked now.
   *
   * @param rank entry instances that are to check it before this one
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
   * Takes in the end of a status check.
   *
   * @param coldNanos how long the target is cold if it has been started anew
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

  /** Takes in that the target is cold, if the time is more than 0. */
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

  /** Takes in a report that another entry instance has received. */
  void noteReport(long reportNanos, LoadReport report) {
    load.note(reportNanos, report, inFlight);
  }

  /** Takes in that another entry instance has begun requests at the target. */
  void noteBegun(long nowNanos, int requests) {
    load.noteBegun(nowNanos, requests);
  }

  int slots() {
    return Math.max(1, record.getSlots());
  }

  /** Returns the requests that are probably at the target. */
  double outstanding(long nowNanos, double averageOthers) {
    return inFlight + load.others(nowNanos, averageOthers);
  }

  /** Returns the age of the newest report in milliseconds, or -1 if there is none. */
  long reportAgeMs(long nowNanos) {
    return load.reportAgeNanos(nowNanos).map(each -> each / NANOS_PER_MS).orElse(-1L);
  }

  /** Returns how many times as long as usual work probably takes at the target. */
  double slowness(long nowNanos, double average) {
    double reported = load.slowness(nowNanos, average);
    return pacer.isCold(nowNanos) ? reported * COLD_SLOWNESS : reported;
  }
}
