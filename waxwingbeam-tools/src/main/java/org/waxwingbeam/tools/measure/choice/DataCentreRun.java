package org.waxwingbeam.tools.measure.choice;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.target.ChoicePolicy;
import org.waxwingbeam.tools.measure.choice.ColdRun.Configurations;
import org.waxwingbeam.tools.testing.FleetShape;
import org.waxwingbeam.tools.testing.SimulatedEntry.Hedging;
import org.waxwingbeam.tools.testing.SimulatedFleet;
import org.waxwingbeam.tools.testing.SimulatedTarget;

/** Takes a data centre out under load while an entry instance is cut off, and brings it back. */
final class DataCentreRun {
  private static final double LOAD = 0.55;
  private static final long START_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long OUT_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final long BACK_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final long END_NANOS = TimeUnit.SECONDS.toNanos(18);
  private static final long COMPLETION_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long CHECK_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final SimulatedFleet fleet;
  private final DataCentreName dataCentre;
  private final int cutEntry;
  private final long cutBeforeNanos;
  private long fullServiceNanos = Long.MAX_VALUE;
  private long lastRequestNanos;

  DataCentreRun(FleetShape shape, long seed) {
    SplittableRandom random = new SplittableRandom(seed + 2);
    ChoicePolicy policy = ChoicePolicy.named(ChoicePolicy.DEFAULT_NAME).orElseThrow();
    this.fleet = new SimulatedFleet(shape, policy, Hedging.NONE, seed);
    this.dataCentre = new DataCentreName("dc-" + (1 + random.nextInt(shape.dataCentres())));
    this.cutEntry = random.nextInt(shape.entries());
    this.cutBeforeNanos = random.nextLong(TimeUnit.MILLISECONDS.toNanos(500));
  }

  Result run() {
    fleet.generateRequests(LOAD, 0, END_NANOS);
    fleet.loop().scheduleAt(OUT_NANOS - cutBeforeNanos, () -> fleet.partition(cutEntry));
    fleet.loop().scheduleAt(BACK_NANOS - cutBeforeNanos, () -> fleet.reconnect(cutEntry));
    fleet
        .loop()
        .scheduleAt(
            OUT_NANOS, () -> fleet.configure(Configurations.withDataCentreOut(1, dataCentre)));
    fleet.loop().scheduleAt(BACK_NANOS, this::bringDataCentreBack);
    fleet.record().setRecording(false);
    fleet.loop().runUntil(START_NANOS);
    fleet.record().setRecording(true);
    final double p99BeforeMs = p99Until(OUT_NANOS);
    final double p99OutMs = p99Until(BACK_NANOS);
    final double p99BackMs = p99Until(END_NANOS + COMPLETION_NANOS);
    return result(p99BeforeMs, p99OutMs, p99BackMs);
  }

  /** Brings the data centre back with cold targets, as after their restart while it was out. */
  private void bringDataCentreBack() {
    lastRequestNanos =
        dataCentreTargets().stream().mapToLong(SimulatedTarget::lastStartNanos).max().orElse(0);
    dataCentreTargets().forEach(SimulatedTarget::makeCold);
    fleet.configure(Configurations.withAllDataCentresIn(2));
    fleet.loop().scheduleAtFixedRate(CHECK_PERIOD_NANOS, this::checkFullService);
  }

  private void checkFullService() {
    boolean allWarm = dataCentreTargets().stream().noneMatch(SimulatedTarget::isCold);
    fullServiceNanos = allWarm ? Math.min(fullServiceNanos, fleet.loop().now()) : fullServiceNanos;
  }

  private double p99Until(long nanos) {
    fleet.record().latencyMicros().reset();
    fleet.loop().runUntil(nanos);
    return fleet.record().latencyMicros().getValueAtPercentile(99) / 1e3;
  }

  private List<SimulatedTarget> dataCentreTargets() {
    return fleet.targets().stream()
        .filter(each -> each.announcement().dataCentre().equals(dataCentre))
        .toList();
  }

  private Result result(double p99BeforeMs, double p99OutMs, double p99BackMs) {
    double offeredRequests = LOAD * fleet.capacityPerSecond() * (END_NANOS - START_NANOS) / 1e9;
    return new Result(
        Math.max(0, lastRequestNanos - OUT_NANOS) / 1e6,
        fullServiceNanos == Long.MAX_VALUE ? Double.NaN : (fullServiceNanos - BACK_NANOS) / 1e6,
        p99BeforeMs,
        p99OutMs,
        p99BackMs,
        100 * fleet.record().refused() / offeredRequests,
        100 * fleet.record().failures() / offeredRequests,
        fleet.targets().stream().mapToLong(SimulatedTarget::startsAboveColdCapacity).sum());
  }

  /**
   * The results of one run.
   *
   * @param lastRequestMs time from acceptance to the last new request in the data centre
   * @param fullServiceMs time from the return until every target of the data centre is warm
   * @param p99BeforeMs 99th percentile of the latency before the data centre is taken out
   * @param p99OutMs 99th percentile of the latency while the data centre is out
   * @param p99BackMs 99th percentile of the latency after its return
   * @param refusedPercent refused requests, in percent of the offered ones
   * @param failedPercent failed requests, in percent of the offered ones
   * @param coldExcesses requests that cold targets started above their cold capacity
   */
  record Result(
      double lastRequestMs,
      double fullServiceMs,
      double p99BeforeMs,
      double p99OutMs,
      double p99BackMs,
      double refusedPercent,
      double failedPercent,
      double coldExcesses) {}
}
