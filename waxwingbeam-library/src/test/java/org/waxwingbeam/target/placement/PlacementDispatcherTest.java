package org.waxwingbeam.target.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.ErrorKind;
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
import org.waxwingbeam.wire.routing.ServiceMove;
import org.waxwingbeam.wire.routing.ServiceTerms;

class PlacementDispatcherTest {
  private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final int FLEET = 15;
  private static final double COLD_PER_SECOND = 14;

  private final PlacementDispatcher dispatcher = dispatcher(3);
  private long attempts;

  private static PlacementDispatcher dispatcher(long seed) {
    PlacementDispatcher created =
        new PlacementDispatcher(
            new PlacementContext(
                "front-1",
                "chamonix",
                () -> FLEET,
                () -> true,
                each -> {},
                new SplittableRandom(seed),
                new NoOpLoadListener(),
                60,
                new StoppedMoves()));
    created.configure(state());
    return created;
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
                        .setColdStartMs(3_000)
                        .setColdPerSecond(COLD_PER_SECOND)))
        .build();
  }

  private static TargetRecord record(int number, String version) {
    return TargetRecord.newBuilder()
        .setId("t" + number)
        .setHost("10.0.0." + number)
        .setPort(80)
        .setService("alpha")
        .setVersion(version)
        .setDataCentre(number % 2 == 0 ? "chamonix" : "annecy")
        .setSlots(4)
        .setState(TargetRecord.State.READY)
        .setStartedMs(1)
        .build();
  }

  private static TargetId id(int number) {
    return new TargetId("10.0.0." + number, 80);
  }

  private DispatchRequest request(long now, Set<TargetId> excluded) {
    return new DispatchRequest(
        ++attempts,
        new ServiceName("alpha"),
        new AccountName("common"),
        new RouteName("r"),
        true,
        1,
        64,
        now + SECOND,
        now + 250 * MS,
        false,
        excluded);
  }

  private Decision decide(long now) {
    return dispatcher.request(now, request(now, Set.of()));
  }

  private TargetId requestTarget(long now) {
    return ((Decision.Assigned) decide(now)).target();
  }

  /** Assigns a request and completes it immediately. */
  private TargetId requestAndComplete(long now) {
    TargetId target = requestTarget(now);
    complete(now, target, AttemptOutcome.SUCCESS, Optional.of(new LoadReport(0, 0, 4, 100)));
    return target;
  }

  private void complete(
      long now, TargetId target, AttemptOutcome outcome, Optional<LoadReport> report) {
    dispatcher.complete(now, new Completion(attempts, target, outcome, 90 * MS, report));
  }

  @Test
  void slowAndLoadedTargetsAreAvoidedWhileTheReportIsCurrent() {
    dispatcher.update(0, record(2, "v1"));
    dispatcher.update(0, record(4, "v1"));
    dispatcher.applyReport(0, id(2), new LoadReport(1, 0, 4, 500));
    dispatcher.applyReport(0, id(4), new LoadReport(1, 0, 4, 100));
    assertThat(requestTarget(10 * MS)).isEqualTo(id(4));

    dispatcher.applyReport(20 * MS, id(2), new LoadReport(0, 0, 4, 100));
    dispatcher.applyReport(20 * MS, id(4), new LoadReport(4, 3, 4, 100));
    assertThat(requestTarget(21 * MS)).isEqualTo(id(2));
  }

  @Test
  void requestsOfOtherEntryInstancesCountUntilTheNextReport() {
    dispatcher.update(0, record(2, "v1"));
    dispatcher.update(0, record(4, "v1"));
    dispatcher.applyReport(0, id(2), new LoadReport(0, 0, 4, 100));
    dispatcher.applyReport(0, id(4), new LoadReport(1, 0, 4, 100));
    dispatcher.addRemoteRequests(MS, id(2), 4);

    assertThat(requestTarget(2 * MS)).isEqualTo(id(4));
  }

  private void reportInFlight(int number, int running) {
    dispatcher.applyReport(SECOND, id(number), new LoadReport(running, 0, 4, 100));
  }

  @Test
  void hedgeIsRefusedIfAllSlotsAreInUse() {
    dispatcher.update(0, record(2, "v1"));
    reportInFlight(2, 4);
    DispatchRequest plain = request(SECOND, Set.of());
    DispatchRequest hedge =
        new DispatchRequest(
            plain.attemptId(),
            plain.service(),
            plain.account(),
            plain.route(),
            true,
            1,
            64,
            plain.deadlineNanos(),
            plain.responseGoalNanos(),
            true,
            Set.of());

    assertThat(dispatcher.request(SECOND, hedge)).isInstanceOf(Decision.Refused.class);
  }

  @Test
  void noRequestIsSentToDataCentreThatIsOut() {
    dispatcher.update(0, record(1, "v1"));
    dispatcher.update(0, record(2, "v1"));
    dispatcher.configure(state().toBuilder().addDataCentresOut("annecy").build());

    for (int i = 0; i < 20; i++) {
      assertThat(requestAndComplete(i * MS)).isEqualTo(id(2));
    }
  }

  @Test
  void drainingTargetsAndTargetsOfAnotherIdentityGetNoRequests() {
    dispatcher.update(0, record(2, "v1"));
    dispatcher.update(0, record(4, "v1"));
    dispatcher.update(0, record(2, "v1").toBuilder().setState(TargetRecord.State.DRAINING).build());
    assertThat(requestTarget(0)).isEqualTo(id(4));

    complete(MS, id(4), AttemptOutcome.REFUSED_WRONG_TARGET, Optional.empty());
    assertThat(decide(2 * MS)).isInstanceOf(Decision.Refused.class);
    assertThat(((Decision.Refused) decide(3 * MS)).kind()).isEqualTo(ErrorKind.NO_TARGET);
  }

  @Test
  void unreachableTargetIsPaused() {
    dispatcher.update(0, record(2, "v1"));
    dispatcher.update(0, record(4, "v1"));
    TargetId failed = requestTarget(0);
    complete(MS, failed, AttemptOutcome.CONNECT_FAILED, Optional.empty());

    for (int i = 2; i < 100; i++) {
      assertThat(requestAndComplete(i * MS)).isNotEqualTo(failed);
    }
  }

  @Test
  void requestThatNoTargetCanServeInTimeIsRefusedImmediately() {
    dispatcher.update(0, record(2, "v1"));
    for (int i = 0; i < 40; i++) {
      requestTarget(i);
      complete(i, id(2), AttemptOutcome.SUCCESS, Optional.of(new LoadReport(1, 0, 4, 100)));
    }
    dispatcher.applyReport(SECOND, id(2), new LoadReport(4, 60, 4, 100));

    Decision decision = decide(SECOND);
    assertThat(((Decision.Refused) decision).kind()).isEqualTo(ErrorKind.OVERLOADED);
    assertThat(((Decision.Refused) decision).retryAfterMs()).isGreaterThan(0);
  }

  @Test
  void allEntryInstancesTogetherStayBelowTheRateOfColdTarget() {
    double bound = COLD_PER_SECOND * 1.5 + 5;
    Map<Long, Integer> perTenth = new HashMap<>();
    for (int entry = 0; entry < FLEET; entry++) {
      PlacementDispatcher each = dispatcher(entry);
      each.update(0, record(2, "v1").toBuilder().setColdLeftMs(3_000).build());
      for (long now = 0; now < 3 * SECOND; now += 5 * MS) {
        if (each.request(now, request(now, Set.of())) instanceof Decision.Assigned) {
          perTenth.merge(now / (100 * MS), 1, Integer::sum);
        }
      }
    }
    for (long tenth = 0; tenth < 20; tenth++) {
      int inSecond = 0;
      for (long each = tenth; each < tenth + 11; each++) {
        inSecond += perTenth.getOrDefault(each, 0);
      }
      assertThat((double) inSecond).isAtMost(bound);
    }
    assertThat(perTenth.values().stream().mapToInt(each -> each).sum()).isAtLeast(15);
  }

  @Test
  void versionWithoutMoveGetsNoRequests() {
    dispatcher.update(0, record(2, "v1"));
    dispatcher.update(0, record(4, "v1"));
    dispatcher.update(0, record(6, "v2"));

    for (int i = 0; i < 50; i++) {
      assertThat(requestAndComplete(i)).isNotEqualTo(id(6));
    }
  }

  @Test
  void newVersionGetsItsShareAndNoRequestsAfterRollBack() {
    dispatcher.update(0, record(2, "v1"));
    dispatcher.update(0, record(6, "v2"));
    ServiceMove move =
        ServiceMove.newBuilder()
            .setService("alpha")
            .setTo("v2")
            .setNumber(1)
            .setState(ServiceMove.State.RUNNING)
            .setSharePerMille(100)
            .build();
    dispatcher.configure(state().toBuilder().addMoves(move).build());
    assertThat(newVersionOf(200)).isIn(com.google.common.collect.Range.closed(17, 23));

    ServiceMove.State back = ServiceMove.State.ROLLED_BACK;
    dispatcher.configure(
        state().toBuilder().addMoves(move.toBuilder().setState(back).build()).build());
    assertThat(newVersionOf(200)).isEqualTo(0);

    ServiceMove.State done = ServiceMove.State.DONE;
    dispatcher.configure(
        state().toBuilder().addMoves(move.toBuilder().setState(done).build()).build());
    assertThat(newVersionOf(200)).isEqualTo(200);
  }

  private int newVersionOf(int requests) {
    int found = 0;
    for (int i = 0; i < requests; i++) {
      TargetId target = requestTarget(i);
      found += target.equals(id(6)) ? 1 : 0;
      complete(i, target, AttemptOutcome.SUCCESS, Optional.of(new LoadReport(0, 0, 4, 100)));
    }
    return found;
  }
}
