package org.waxwingbeam.tools.measure.choice;

import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.waxwingbeam.target.ChoicePolicy;
import org.waxwingbeam.tools.testing.FleetRecord;
import org.waxwingbeam.tools.testing.FleetShape;
import org.waxwingbeam.tools.testing.SimulatedEntry.Hedging;
import org.waxwingbeam.tools.testing.SimulatedFleet;

/**
 * One cell of the comparison: a policy at a load under a fault, over all seeds.
 *
 * @param shape the fleet
 * @param policy the policy
 * @param hedging when requests are sent a second time
 * @param scenario the fault
 * @param loadPercent part of the capacity of warm targets on quiet machines
 * @param measuredNanos how long requests are counted in each run
 */
record ChoiceRun(
    FleetShape shape,
    ChoicePolicy policy,
    Hedging hedging,
    ChoiceScenario scenario,
    int loadPercent,
    long measuredNanos) {
  static final long COMPLETION_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Runs every seed and adds up what callers have seen. */
  FleetRecord run(LongStream seeds) {
    FleetRecord sum = new FleetRecord();
    seeds.parallel().mapToObj(this::run).toList().forEach(sum::add);
    return sum;
  }

  private FleetRecord run(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(shape, policy, hedging, seed);
    long start = ChoiceScenario.warmUpNanos();
    long end = start + measuredNanos;
    fleet.record().setRecording(false);
    fleet.offer(loadPercent / 100.0, scenario.unevenness(), end);
    scenario.schedule(fleet, start);
    fleet.loop().runUntil(start);
    fleet.record().setRecording(true);
    fleet.loop().runUntil(end + COMPLETION_NANOS);
    return fleet.record();
  }
}
