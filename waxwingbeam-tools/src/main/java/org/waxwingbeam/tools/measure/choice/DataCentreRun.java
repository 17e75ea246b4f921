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

/** Takes a data centre out under load while entries are cut off, and brings it back. */
final class DataCentreRun {
  private static final double LOAD = 0.55;
  private static final long START_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long OUT_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final long BACK_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final long END_NANOS = TimeUnit.SECONDS.toNanos(18);
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final SimulatedFleet fleet;
  private final DataCentreName dataCentre;
  private final int cutEntry;
  private final long cutBeforeNanos;
  private long fullServiceAt = Long.MAX_VALUE;
  private long lastRequestAt;

  DataCentreRun(FleetShape shape, long seed) {
    SplittableRandom random = new SplittableRandom(seed + 2);
    ChoicePolicy policy = ChoicePolicy.named(ChoicePolicy.DEFAULT_NAME).orElseThrow();
    this.fleet = new SimulatedFleet(shape, policy, Hedging.NONE, seed);
    this.dataCentre = new DataCentreName("dc-" + (1 + random.nextInt(shape.dataCentres())));
    this.cutEntry = random.nextInt(shape.entries());
    this.cutBeforeNanos = random.nextLong(TimeUnit.MILLISECONDS.toNanos(500));
  }

  Result run() {
    fleet.offer(LOAD, 0, END_NANOS);
    fleet.loop().at(OUT_NANOS - cutBeforeNanos, () -> fleet.cut(cutEntry));
    fleet.loop().at(BACK_NANOS - cutBeforeNanos, () -> fleet.heal(cutEntry));
    fleet.loop().at(OUT_NANOS, () -> fleet.configure(Configurations.out(1, dataCentre)));
    fleet.loop().at(BACK_NANOS, this::bringBack);
    fleet.record().setRecording(false);
    fleet.loop().runUntil(START_NANOS);
    fleet.record().setRecording(true);
    final double before = p99Until(OUT_NANOS);
    final double out = p99Until(BACK_NANOS);
    final double back = p99Until(END_NANOS + SETTLE_NANOS);
    return result(before, out, back);
  }

  /** The data centre's targets were restarted while it was out, and are cold. */
  private void bringBack() {
    lastRequestAt = there().stream().mapToLong(SimulatedTarget::lastStart).max().orElse(0);
    there().forEach(SimulatedTarget::goCold);
    fleet.configure(Configurations.allIn(2));
    fleet.loop().every(STEP_NANOS, this::checkFullService);
  }

  private void checkFullService() {
    boolean full = there().stream().noneMatch(SimulatedTarget::isCold);
    fullServiceAt = full ? Math.min(fullServiceAt, fleet.loop().now()) : fullServiceAt;
  }

  private double p99Until(long nanos) {
    fleet.record().latencyMicros().reset();
    fleet.loop().runUntil(nanos);
    return fleet.record().latencyMicros().getValueAtPercentile(99) / 1e3;
  }

  private List<SimulatedTarget> there() {
    return fleet.targets().stream()
        .filter(each -> each.announcement().dataCentre().equals(dataCentre))
        .toList();
  }

  private Result result(double before, double out, double back) {
    double offered = LOAD * fleet.capacityPerSecond() * (END_NANOS - START_NANOS) / 1e9;
    return new Result(
        Math.max(0, lastRequestAt - OUT_NANOS) / 1e6,
        fullServiceAt == Long.MAX_VALUE ? Double.NaN : (fullServiceAt - BACK_NANOS) / 1e6,
        before,
        out,
        back,
        100 * fleet.record().refused() / offered,
        100 * fleet.record().failures() / offered,
        fleet.targets().stream().mapToLong(SimulatedTarget::coldExcesses).sum());
  }

  /**
   * What one run has shown.
   *
   * @param lastRequestMs time from acceptance to the last new request in the data centre
   * @param fullServiceMs time from the return until every target there is warm
   * @param p99BeforeMs 99th percentile of the latency before
   * @param p99OutMs the same while the data centre is out
   * @param p99BackMs the same after its return
   * @param refusedPercent requests refused, of those offered
   * @param failedPercent requests failed, of those offered
   * @param aboveCold requests that cold targets got above their cold capacity
   */
  record Result(
      double lastRequestMs,
      double fullServiceMs,
      double p99BeforeMs,
      double p99OutMs,
      double p99BackMs,
      double refusedPercent,
      double failedPercent,
      double aboveCold) {}
}
