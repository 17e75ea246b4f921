package org.waxwingbeam.target.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.Dispatcher;

/**
 * Plays loads of fleets in which an entry instance receives so few requests that its own load
 * reports are out of date, and no other entry instance sends it theirs.
 */
class FleetPlacementTest {
  private static final long DURATION = TimeUnit.SECONDS.toNanos(10);

  /** Requests per second and target at which all slots are in use, slow times included. */
  private static final double CAPACITY = 3 / (0.09 * 2);

  private static final double NOISE = 0.25;

  /** Status checks per second that all entry instances may send to one target. */
  private static final double CHECKS_PER_SECOND = 60;

  private static Dispatcher placement(
      long seed,
      int entries,
      int targets,
      boolean checked,
      double checksPerSecond,
      Consumer<ProbeRequest> probes) {
    PlacementDispatcher dispatcher =
        new PlacementDispatcher(
            new PlacementContext(
                "front-" + seed,
                "chamonix",
                () -> entries,
                () -> !checked,
                probes,
                new SplittableRandom(seed),
                new NoOpLoadListener(),
                checksPerSecond,
                new StoppedMoves()));
    dispatcher.configure(LoadSimulation.STATE);
    LoadSimulation.records(targets).forEach(each -> dispatcher.update(0, each));
    return dispatcher;
  }

  private static LoadSimulation fleet(long seed, int entries, int targets, boolean checked) {
    return fleet(seed, entries, targets, checked, CHECKS_PER_SECOND);
  }

  private static LoadSimulation fleet(
      long seed, int entries, int targets, boolean checked, double checksPerSecond) {
    return new LoadSimulation(
            seed,
            entries,
            targets,
            (entry, probes) ->
                placement(seed * 1_000 + entry, entries, targets, checked, checksPerSecond, probes))
        .withoutSharedReports()
        .withNoise(NOISE);
  }

  private static double inTimeShare(LoadSimulation.Result result) {
    return (double) result.inTime() / result.requests();
  }

  @ParameterizedTest
  @CsvSource({"1,0.2", "2,0.2", "1,0.5", "2,0.5", "1,0.8", "2,0.8", "1,1.2"})
  void moreRequestsAreInTimeWithChecksOfCandidates(long seed, double load) {
    double rate = load * CAPACITY * 90;

    double blind = inTimeShare(fleet(seed, 152, 90, false).run(rate, DURATION));
    double checked = inTimeShare(fleet(seed, 152, 90, true).run(rate, DURATION));

    assertThat(1 - checked).isLessThan(0.7 * (1 - blind));
  }

  /** A quarter of the targets leaves or rests at every moment; they are back after a second. */
  @ParameterizedTest
  @CsvSource({"1,15,16", "2,15,16", "1,95,60", "2,95,60"})
  void targetsThatLeaveOrRestGetNothingAndMoreCallersAreServedInTime(
      long seed, int entries, int targets) {
    double rate = 0.5 * CAPACITY * targets;
    LoadSimulation unread = fleet(seed, entries, targets, true).withNotices(false);
    final double before = inTimeShare(unread.run(rate, DURATION));
    LoadSimulation read = fleet(seed, entries, targets, true).withNotices(true);
    final double after = inTimeShare(read.run(rate, DURATION));

    assertThat(unread.unwantedRequests()).isGreaterThan(0);
    assertThat(read.unwantedRequests()).isEqualTo(0);
    assertThat(after).isAtLeast(before);
  }

  @ParameterizedTest
  @CsvSource({"50,30", "150,90", "300,180"})
  void checksAndConnectionsPerEntryInstanceDoNotGrowWithTheFleet(int entries, int targets) {
    LoadSimulation simulation = fleet(7, entries, targets, true);

    LoadSimulation.Result result = simulation.run(0.3 * CAPACITY * targets, DURATION);

    assertThat((double) simulation.checks() / result.requests()).isAtMost(3);
    assertThat((double) simulation.connections() / entries).isAtMost(9);
  }

  /** Targets of which each serves more requests a second than it may be checked. */
  @ParameterizedTest
  @CsvSource({"152,90,10", "152,90,3", "60,20,10", "20,30,5"})
  void checksStayWithinTheBudgetOfEachTarget(int entries, int targets, double perSecond) {
    LoadSimulation simulation = fleet(3, entries, targets, true, perSecond);

    LoadSimulation.Result result = simulation.run(0.8 * CAPACITY * targets, DURATION);

    double checks =
        (double) simulation.checks() / targets / TimeUnit.NANOSECONDS.toSeconds(DURATION);
    assertThat(checks).isAtMost(perSecond);
    assertThat(result.inTime()).isGreaterThan(0);
  }

  @Test
  void requestIsDecidedInTimeIfNoCandidateResponds() {
    List<ProbeRequest> probes = new ArrayList<>();
    Dispatcher dispatcher = placement(1, 152, 90, true, CHECKS_PER_SECOND, probes::add);
    long ms = TimeUnit.MILLISECONDS.toNanos(1);

    Decision first = dispatcher.request(0, LoadSimulation.request(1, 0));
    assertThat(first).isEqualTo(new Decision.Queued(1, Optional.of(20 * ms)));
    assertThat(dispatcher.request(10 * ms, LoadSimulation.request(2, 10 * ms)))
        .isInstanceOf(Decision.Queued.class);
    assertThat(probes).isNotEmpty();

    assertThat(attempts(dispatcher.tick(19 * ms))).isEmpty();
    assertThat(attempts(dispatcher.tick(20 * ms))).containsExactly(1L);
    assertThat(attempts(dispatcher.tick(30 * ms))).containsExactly(2L);
  }

  private static List<Long> attempts(List<Decision> decisions) {
    return decisions.stream().map(Decision::attemptId).toList();
  }

  @Test
  void overloadDoesNotReduceTheRequestsServedInTime() {
    double full = 0.9 * CAPACITY * 90;

    int atFull = fleet(5, 152, 90, true).run(full, DURATION).inTime();
    int overloaded = fleet(5, 152, 90, true).run(1.7 * full, DURATION).inTime();

    assertThat((double) overloaded).isAtLeast(0.9 * atFull);
  }
}
