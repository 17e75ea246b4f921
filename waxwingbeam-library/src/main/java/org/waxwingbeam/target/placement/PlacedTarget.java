package org.waxwingbeam.target.placement;

import java.util.random.RandomGenerator;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.target.Outcome;
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
  private final TargetTrust trust = new TargetTrust();
  private final ColdPacer pacer;
  private TargetRecord record;
  private boolean misplaced;
  private int inFlight;

  PlacedTarget(TargetRecord record, RandomGenerator random) {
    this.record = record;
    id = new TargetId(record.getHost(), record.getPort());
    version = new VersionName(record.getVersion());
    pacer = new ColdPacer(random);
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
    if (said.getColdLeftMs() > 0) {
      pacer.chill(nowNanos, nowNanos + said.getColdLeftMs() * NANOS_PER_MS, coldIntervalNanos);
    }
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

  TargetTrust trust() {
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
    completion.report().ifPresent(report -> load.note(nowNanos, report, inFlight));
    if (completion.outcome() == Outcome.REFUSED_WRONG_TARGET) {
      misplaced = true;
    }
    if (completion.outcome() == Outcome.REFUSED_OVERLOADED) {
      noteFull(nowNanos, completion);
    }
    if (trust.takeUnreachable()) {
      // A target that could not be reached may have been started anew without saying so yet.
      pacer.chill(nowNanos, trust.pausedUntilNanos() + coldNanos, coldIntervalNanos);
    }
  }

  private void noteFull(long nowNanos, Completion completion) {
    int slowness =
        completion
            .report()
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
