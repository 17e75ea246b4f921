package org.waxwingbeam.tools.measure.choice;

import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.target.ChoicePolicy;
import org.waxwingbeam.tools.testing.FleetShape;
import org.waxwingbeam.tools.testing.SimulatedEntry.Hedging;
import org.waxwingbeam.tools.testing.SimulatedFleet;
import org.waxwingbeam.tools.testing.SimulatedTarget;
import org.waxwingbeam.tools.testing.TargetFaults;

/**
 * Runs a simulated fleet whose targets turn cold while entry instances are cut off, the view of
 * entry instances changes, and a data centre is taken out and brought back.
 */
final class ColdRun {
  private static final double LOAD = 0.5;
  private static final int RESTARTS = 8;
  private static final int CUTS = 3;
  private static final int SUDDEN_COLD_STARTS = 6;
  private static final long FAULTS_FROM_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);
  private static final long FAULTS_UNTIL_NANOS = TimeUnit.MILLISECONDS.toNanos(12_000);
  private static final long END_NANOS = TimeUnit.SECONDS.toNanos(24);
  private static final long CUT_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final Hedging HEDGING = new Hedging(TimeUnit.MILLISECONDS.toNanos(25), 0.05, 10);

  private final SimulatedFleet fleet;
  private final SplittableRandom random;

  ColdRun(FleetShape shape, long seed) {
    ChoicePolicy policy = ChoicePolicy.named(ChoicePolicy.DEFAULT_NAME).orElseThrow();
    this.fleet = new SimulatedFleet(shape, policy, HEDGING, seed);
    this.random = new SplittableRandom(seed + 1);
  }

  /** Restarts targets, cuts entry instances off, and takes a data centre out and brings it back. */
  SimulatedFleet runAnnouncedFaults() {
    fleet.generateRequests(LOAD, 0, END_NANOS);
    for (int count = 0; count < RESTARTS; count++) {
      SimulatedTarget target = randomTarget();
      fleet.loop().scheduleAt(randomFaultNanos(), () -> fleet.restart(target));
    }
    cutOffEntries();
    DataCentreName dataCentre = randomTarget().announcement().dataCentre();
    long outNanos = randomFaultNanos();
    fleet
        .loop()
        .scheduleAt(
            outNanos, () -> fleet.configure(Configurations.withDataCentreOut(1, dataCentre)));
    fleet
        .loop()
        .scheduleAt(
            outNanos + CUT_NANOS, () -> fleet.configure(Configurations.withAllDataCentresIn(2)));
    fleet.loop().runUntil(END_NANOS + CUT_NANOS);
    return fleet;
  }

  /**
   * Makes targets cold without an announcement.
   *
   * @param refuseWhenCold whether they then refuse requests above their cold capacity
   */
  SimulatedFleet runUnannouncedFaults(boolean refuseWhenCold) {
    fleet.generateRequests(LOAD, 0, END_NANOS);
    for (int count = 0; count < SUDDEN_COLD_STARTS; count++) {
      SimulatedTarget target = randomTarget();
      target.setFaults(refuseWhenCold ? TargetFaults.refusingCold() : TargetFaults.NONE);
      fleet.loop().scheduleAt(randomFaultNanos(), target::makeCold);
    }
    fleet.loop().runUntil(END_NANOS + CUT_NANOS);
    return fleet;
  }

  private void cutOffEntries() {
    for (int count = 0; count < CUTS; count++) {
      int entry = count * fleet.entries().size() / CUTS + random.nextInt(2);
      long atNanos = randomFaultNanos();
      fleet.loop().scheduleAt(atNanos, () -> fleet.partition(entry));
      fleet.loop().scheduleAt(atNanos + CUT_NANOS, () -> fleet.reconnect(entry));
    }
  }

  private SimulatedTarget randomTarget() {
    return fleet.targets().get(random.nextInt(fleet.targets().size()));
  }

  private long randomFaultNanos() {
    return random.nextLong(FAULTS_FROM_NANOS, FAULTS_UNTIL_NANOS);
  }

  /** Builds configurations that differ only in the data centres that are out. */
  static final class Configurations {
    private Configurations() {}

    static Configuration withDataCentreOut(long number, DataCentreName dataCentre) {
      TreeSet<DataCentreName> out = new TreeSet<>();
      out.add(dataCentre);
      return new Configuration(number, new TreeMap<>(), new TreeMap<>(), out, new TreeMap<>());
    }

    static Configuration withAllDataCentresIn(long number) {
      return new Configuration(
          number, new TreeMap<>(), new TreeMap<>(), new TreeSet<>(), new TreeMap<>());
    }
  }
}
