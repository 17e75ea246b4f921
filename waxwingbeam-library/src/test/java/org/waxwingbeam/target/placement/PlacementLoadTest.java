package org.waxwingbeam.target.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.Dispatcher;

/**
 * Simulates loads from light to far above the capacity of the targets, and compares the results for
 * callers with those of a random choice of targets.
 */
class PlacementLoadTest {
  private static final int ENTRIES = 15;
  private static final long DURATION = TimeUnit.SECONDS.toNanos(15);
  private static final LongStream SEEDS = LongStream.rangeClosed(1, 4);

  /** Maximum responses per second of fifteen targets with four slots, slow times included. */
  private static final double CAPACITY = 15 * 3 / (0.09 * 2);

  /** Requests per second at which each target responds four times a second. */
  private static final double LIGHT_RATE = 60;

  private static final long LONG_DURATION = TimeUnit.SECONDS.toNanos(45);

  /** Sends each request to a target chosen at random. */
  private static final class RandomDispatcher implements Dispatcher {
    private final SplittableRandom random;

    RandomDispatcher(long seed) {
      random = new SplittableRandom(seed);
    }

    @Override
    public Decision request(long nowNanos, DispatchRequest request) {
      TargetId target = new TargetId("10.0.0." + random.nextInt(1, 16), 80);
      return new Decision.Assigned(request.attemptId(), target, new VersionName("v1"));
    }

    @Override
    public List<Decision> complete(long nowNanos, Completion completion) {
      return List.of();
    }

    @Override
    public void cancel(long nowNanos, long attemptId) {}

    @Override
    public List<Decision> tick(long nowNanos) {
      return List.of();
    }
  }

  private static Dispatcher placement(long seed) {
    PlacementDispatcher dispatcher =
        new PlacementDispatcher(
            new PlacementContext(
                "front-1",
                "chamonix",
                () -> ENTRIES,
                () -> true,
                each -> {},
                new SplittableRandom(seed),
                new NoOpLoadListener(),
                60,
                new StoppedMoves()));
    dispatcher.configure(LoadSimulation.STATE);
    LoadSimulation.records().forEach(each -> dispatcher.update(0, each));
    return dispatcher;
  }

  private static LoadSimulation.Result random(long seed, double load) {
    return new LoadSimulation(seed, ENTRIES, each -> new RandomDispatcher(seed * 100 + each))
        .run(load * CAPACITY, DURATION);
  }

  private static LoadSimulation simulation(long seed) {
    return new LoadSimulation(seed, ENTRIES, each -> placement(seed * 100 + each));
  }

  private static LoadSimulation.Result placed(long seed, double load) {
    return simulation(seed).run(load * CAPACITY, DURATION);
  }

  private static LoadSimulation.Result withStatusChecks(long seed, double load) {
    return simulation(seed).withStatusChecks().run(load * CAPACITY, DURATION);
  }

  private static double inTimeShare(LoadSimulation.Result result) {
    return (double) result.inTime() / result.requests();
  }

  @Test
  void moreRequestsAreInTimeThanWithRandomChoiceAtEveryLoad() {
    SEEDS.forEach(
        seed -> {
          for (double load : new double[] {0.3, 0.6, 0.9, 1.2}) {
            LoadSimulation.Result placed = placed(seed, load);
            LoadSimulation.Result random = random(seed, load);
            assertThat(inTimeShare(placed)).isGreaterThan(inTimeShare(random));
          }
        });
  }

  /**
   * At a light load responses are rare, so the latest load report of a target is older than the
   * slow times of its machine last.
   */
  @Test
  void statusChecksReduceLateRequestsIfResponsesAreRare() {
    LongStream.rangeClosed(1, 4)
        .forEach(
            seed -> {
              double without =
                  inTimeShare(simulation(seed).withNoise(0.35).run(LIGHT_RATE, LONG_DURATION));
              double with =
                  inTimeShare(
                      simulation(seed)
                          .withNoise(0.35)
                          .withStatusChecks()
                          .run(LIGHT_RATE, LONG_DURATION));

              assertThat(1 - with).isLessThan(0.8 * (1 - without));
            });
  }

  @Test
  void statusChecksDoNotDelayRequestsAtFullLoad() {
    assertThat(inTimeShare(withStatusChecks(3, 0.9))).isAtLeast(inTimeShare(placed(3, 0.9)) - 0.02);
  }

  @Test
  void overloadDoesNotReduceTheRequestsServedInTime() {
    LoadSimulation.Result full = placed(7, 0.9);
    LoadSimulation.Result overload = placed(7, 1.5);

    assertThat((double) overload.inTime()).isAtLeast(0.9 * full.inTime());
  }
}
