package org.waxwingbeam.tools.measure.choice;

import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.waxwingbeam.target.ChoicePolicy;
import org.waxwingbeam.tools.testing.FleetRecord;
import org.waxwingbeam.tools.testing.FleetShape;
import org.waxwingbeam.tools.testing.SimulatedEntry.Hedging;
import org.waxwingbeam.tools.testing.SimulatedFleet;

/**
 * Runs one policy at one load under one fault, over all seeds.
 *
 * @param shape the shape of the simulated fleet
 * @param policy the policy
 * @param hedging when requests are hedged
 * @param scenario the fault to inject
 * @param loadPercent offered load, in percent of the capacity of warm targets without noisy
 *     neighbours
 * @param measuredNanos simulated time during which requests are counted in each run
 */
record ChoiceRun(
    FleetShape shape,
    ChoicePolicy policy,
    Hedging hedging,
    ChoiceScenario scenario,
    int loadPercent,
    long measuredNanos) {
  /** Simulated time after the end of the load, in which outstanding requests complete. */
  static final long COMPLETION_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Runs every seed and returns the sum of the callers' results. */
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
    fleet.generateRequests(loadPercent / 100.0, scenario.unevenness(), end);
    scenario.schedule(fleet, start);
    fleet.loop().runUntil(start);
    fleet.record().setRecording(true);
    fleet.loop().runUntil(end + COMPLETION_NANOS);
    return fleet.record();
  }
}
