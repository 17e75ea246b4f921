package org.waxwingbeam.target.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.wire.feed.TargetRecord;
import org.waxwingbeam.wire.routing.RoutingDocument;
import org.waxwingbeam.wire.routing.RoutingState;
import org.waxwingbeam.wire.routing.ServiceTerms;

/** Tests when status checks are sent, by which entry instance, and the effect of their results. */
class StatusCheckTest {
  private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final ProbeAssignment SINGLE_ENTRY = new ProbeAssignment(0, 1);
  private static final TargetId FIRST = new TargetId("10.0.0.1", 80);

  private final List<String> notifications = new ArrayList<>();
  private PlacementDispatcher dispatcher;
  private long attempts;

  @BeforeEach
  void start() {
    dispatcher =
        new PlacementDispatcher(
            new PlacementContext(
                "front-1",
                "chamonix",
                () -> 3,
                () -> true,
                each -> {},
                new SplittableRandom(1),
                new Listener(),
                60,
                new StoppedMoves()));
    dispatcher.configure(state());
    dispatcher.update(0, record(1));
  }

  private final class Listener implements PlacementContext.LoadListener {
    @Override
    public void onRequestSent(TargetId target) {}

    @Override
    public void onReport(TargetId target, LoadReport report) {
      notifications.add("report of " + target);
    }

    @Override
    public void onColdTarget(TargetId target, int coldLeftMs) {
      notifications.add("%s is cold for %d ms".formatted(target, coldLeftMs));
    }
  }

  private static RoutingState state() {
    return RoutingState.newBuilder()
        .setRevision(1)
        .setDocument(
            RoutingDocument.newBuilder()
                .setVersion(1)
                .addServices(
                    ServiceTerms.newBuilder()
                        .setName("alpha")
                        .setHealthPath("/health")
                        .setConnectionLimit(220)
                        .setColdStartMs(3_000)
                        .setColdPerSecond(14)))
        .build();
  }

  private static TargetRecord record(int number) {
    return TargetRecord.newBuilder()
        .setId("t" + number)
        .setHost("10.0.0." + number)
        .setPort(80)
        .setService("alpha")
        .setVersion("v1")
        .setDataCentre("chamonix")
        .setSlots(4)
        .setState(TargetRecord.State.READY)
        .setStartedMs(1)
        .build();
  }

  private static ProbeResult responded(String instance, int coldLeftMs) {
    return new ProbeResult.Answered(
        Optional.of(instance), Optional.of(new LoadReport(0, 0, 4, 100)), coldLeftMs);
  }

  private Decision requestTarget(long now) {
    return dispatcher.request(
        now,
        new DispatchRequest(
            ++attempts,
            new ServiceName("alpha"),
            new AccountName("common"),
            new RouteName("r"),
            true,
            1,
            64,
            now + 1_000 * MS,
            now + 250 * MS,
            false,
            Set.of()));
  }

  @Test
  void targetIsCheckedWhenItsReportIsOldUnlessCheckIsInFlight() {
    assertThat(dispatcher.startDueProbes(49 * MS, SINGLE_ENTRY)).isEmpty();
    assertThat(dispatcher.startDueProbes(50 * MS, SINGLE_ENTRY))
        .containsExactly(new ProbeRequest(FIRST, "t1", "/health", 220));
    assertThat(dispatcher.startDueProbes(150 * MS, SINGLE_ENTRY)).isEmpty();

    ProbeRequest probe = new ProbeRequest(FIRST, "t1", "/health", 220);
    dispatcher.completeProbe(160 * MS, probe, responded("t1", 0));

    assertThat(notifications).containsExactly("report of 10.0.0.1:80");
    assertThat(dispatcher.startDueProbes(209 * MS, SINGLE_ENTRY)).isEmpty();
    assertThat(dispatcher.startDueProbes(210 * MS, SINGLE_ENTRY)).hasSize(1);
  }

  @Test
  void resultsKeepTheTextThatTheLogShows() {
    assertThat(responded("t1", 20).toString())
        .isEqualTo(
            "Answered[instance=Optional[t1], load=Optional[LoadReport[inFlight=0, queued=0, slots=4"
                + ", slownessPercent=100]], coldLeftMs=20]");
    assertThat(new ProbeResult.Unanswered().toString()).isEqualTo("Unanswered[]");
    assertThat(new ProbeResult.Unreachable().toString()).isEqualTo("Unreachable[]");
  }

  @Test
  void everyTargetHasExactlyOneEntryInstanceOfRankZero() {
    List<Integer> ranks =
        java.util.stream.IntStream.range(0, 5)
            .mapToObj(position -> new ProbeAssignment(position, 5).rank("t1"))
            .sorted()
            .toList();

    assertThat(ranks).containsExactly(0, 1, 2, 3, 4).inOrder();
  }

  @Test
  void nextEntryInstanceTakesOverIfNoReportArrives() {
    int second =
        java.util.stream.IntStream.range(0, 3)
            .filter(position -> new ProbeAssignment(position, 3).rank("t1") == 1)
            .findFirst()
            .orElseThrow();

    assertThat(dispatcher.startDueProbes(89 * MS, new ProbeAssignment(second, 3))).isEmpty();
    assertThat(dispatcher.startDueProbes(90 * MS, new ProbeAssignment(second, 3))).hasSize(1);
  }

  @Test
  void coldDrainingAndReplacedTargetsAreNotChecked() {
    dispatcher.update(0, record(2).toBuilder().setColdLeftMs(3_000).build());
    dispatcher.update(0, record(3).toBuilder().setState(TargetRecord.State.DRAINING).build());

    assertThat(
            dispatcher.startDueProbes(100 * MS, SINGLE_ENTRY).stream().map(ProbeRequest::instance))
        .containsExactly("t1");
    dispatcher.completeProbe(
        101 * MS, new ProbeRequest(FIRST, "t1", "/health", 220), responded("another", 0));
    assertThat(dispatcher.startDueProbes(500 * MS, SINGLE_ENTRY)).isEmpty();
    assertThat(((Decision.Assigned) requestTarget(500 * MS)).target())
        .isEqualTo(new TargetId("10.0.0.2", 80));
  }

  @Test
  void targetFoundColdIsPacedAndReportedToListener() {
    dispatcher.startDueProbes(50 * MS, SINGLE_ENTRY);
    dispatcher.completeProbe(
        60 * MS, new ProbeRequest(FIRST, "t1", "/health", 220), responded("t1", 2_000));
    long sent =
        java.util.stream.LongStream.range(60, 1_060)
            .filter(now -> requestTarget(now * MS) instanceof Decision.Assigned)
            .count();

    assertThat(notifications).contains("10.0.0.1:80 is cold for 2000 ms");
    assertThat(sent).isAtMost((long) Math.ceil(14 * 1.5 / 3));
  }

  @Test
  void unreachableTargetGetsNoRequestsUntilCheckSucceeds() {
    dispatcher.update(0, record(2));
    requestTarget(0);
    dispatcher.complete(
        MS, new Completion(attempts, FIRST, AttemptOutcome.CONNECT_FAILED, 0, Optional.empty()));
    dispatcher.startDueProbes(400 * MS, SINGLE_ENTRY);
    dispatcher.completeProbe(
        400 * MS, new ProbeRequest(FIRST, "t1", "/health", 220), new ProbeResult.Unreachable());
    for (long now = 400; now < 10_000; now += 50) {
      assertThat(((Decision.Assigned) requestTarget(now * MS)).target()).isNotEqualTo(FIRST);
      dispatcher.complete(
          now * MS,
          new Completion(
              attempts,
              new TargetId("10.0.0.2", 80),
              AttemptOutcome.SUCCESS,
              20 * MS,
              Optional.of(new LoadReport(0, 0, 4, 100))));
    }
    assertThat(
            dispatcher.startDueProbes(10_000 * MS, SINGLE_ENTRY).stream()
                .map(ProbeRequest::instance))
        .contains("t1");
  }

  @Test
  void entryInstancesThatCannotExchangeReportsStayWithinTheBudget() {
    int fleet = 16;
    for (double budget : new double[] {60, 10}) {
      long sent = 0;
      for (int position = 0; position < fleet; position++) {
        ProbeSchedule timer = new ProbeSchedule(budget);
        int rank = new ProbeAssignment(position, fleet).rank("t1");
        long reportMs = 0;
        for (long now = 0; now < 10_000; now += 5) {
          if (timer.isDue(now * MS, (now - reportMs) * MS, rank)) {
            timer.recordStart(now * MS);
            timer.recordEnd();
            reportMs = now;
            sent++;
          }
        }
      }
      assertThat(sent / 10.0).isAtMost(budget);
    }
  }
}
