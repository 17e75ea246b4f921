package org.waxwingbeam.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.control.LeasedEntryView;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.target.TargetAnnouncement.State;
import org.waxwingbeam.target.version.VersionSelector;

class EntryDispatcherTest {
  private static final ServiceName SERVICE = new ServiceName("listing");
  private static final VersionName V1 = new VersionName("v1");
  private static final InstanceName SELF = new InstanceName("entry-1");
  private static final DataCentreName NORTH = new DataCentreName("north");

  private final TargetRegistry registry = new TargetRegistry();
  private final WarmupTable warmupTable = new WarmupTable(found -> {});
  private LeasedEntryView view = LeasedEntryView.NONE;
  private Configuration configuration = Configuration.EMPTY;
  private final EntryDispatcher dispatcher =
      new EntryDispatcher(
          new DispatchSettings(
              SELF, NORTH, new ChoicePolicy.LeastOutstanding(Integer.MAX_VALUE), 0, 1),
          registry,
          () -> configuration,
          () -> view,
          VersionSelector.ANY,
          warmupTable);

  @Test
  void requestToServiceWithoutTargetsIsRefused() {
    assertThat(dispatcher.request(0, request(1)))
        .isEqualTo(new Decision.Refused(1, ErrorKind.NO_TARGET, 1_000));
  }

  @Test
  void targetWithFewestOutstandingRequestsIsChosen() {
    registry.announce(0, announcement(9000, State.WARM));
    warm(9000);
    warm(9001);
    Decision first = dispatcher.request(0, request(1));
    registry.announce(0, announcement(9001, State.WARM));

    assertThat(first).isEqualTo(new Decision.Assigned(1, id(9000), V1));
    assertThat(dispatcher.request(0, request(2))).isEqualTo(new Decision.Assigned(2, id(9001), V1));
  }

  @Test
  void ownerSendsOneConcurrentRequestToColdTargetWhileItsViewIsExclusive() {
    view = viewOf(SELF);
    registry.announce(0, announcement(9000, State.COLD));

    assertThat(dispatcher.request(0, request(1))).isEqualTo(new Decision.Assigned(1, id(9000), V1));
    assertThat(dispatcher.request(0, request(2))).isEqualTo(new Decision.Queued(2));
    dispatcher.complete(
        1, new Completion(1, id(9000), AttemptOutcome.SUCCESS, 1, Optional.empty()));
    assertThat(dispatcher.request(1_000, request(3))).isEqualTo(new Decision.Queued(3));
  }

  @Test
  void entryThatDoesNotOwnColdTargetSendsItNoRequests() {
    view = viewOf(new InstanceName("entry-2"));
    registry.announce(0, announcement(9000, State.COLD));

    assertThat(dispatcher.request(0, request(1))).isEqualTo(new Decision.Queued(1));
  }

  @Test
  void refusalForColdStartTurnsTargetCold() {
    registry.announce(0, announcement(9000, State.WARM));
    warm(9000);
    dispatcher.request(0, request(1));
    dispatcher.complete(
        1, new Completion(1, id(9000), AttemptOutcome.REFUSED_COLD, 1, Optional.empty()));

    assertThat(warmupTable.find(id(9000)))
        .isEqualTo(Optional.of(new WarmupState(id(9000), 1, 2, false, 0)));
    assertThat(dispatcher.request(1, request(2))).isEqualTo(new Decision.Queued(2));
  }

  @Test
  void drainingTargetGetsNoNewRequests() {
    registry.announce(0, announcement(9000, State.DRAINING));

    assertThat(dispatcher.request(0, request(1)))
        .isEqualTo(new Decision.Refused(1, ErrorKind.NO_TARGET, 1_000));
  }

  @Test
  void targetThatRefusedAsDrainingGetsNoNewRequestsUntilItsNextStart() {
    registry.announce(0, announcement(9000, State.WARM));
    warm(9000);
    dispatcher.request(0, request(1));
    dispatcher.complete(
        1, new Completion(1, id(9000), AttemptOutcome.REFUSED_DRAINING, 1, Optional.empty()));
    registry.announce(2, announcement(9000, State.WARM));

    assertThat(dispatcher.request(2, request(2)))
        .isEqualTo(new Decision.Refused(2, ErrorKind.NO_TARGET, 1_000));
  }

  @Test
  void targetInDataCentreOutOfServiceGetsNoNewRequests() {
    registry.announce(0, announcement(9000, State.WARM));
    configuration =
        new Configuration(
            1, new TreeMap<>(), new TreeMap<>(), new TreeSet<>(Set.of(NORTH)), new TreeMap<>());

    assertThat(dispatcher.request(0, request(1)))
        .isEqualTo(new Decision.Refused(1, ErrorKind.NO_TARGET, 1_000));
  }

  @Test
  void completionIsCountedOnce() {
    registry.announce(0, announcement(9000, State.WARM));
    warm(9000);
    warm(9001);
    dispatcher.request(0, request(1));
    Completion completion =
        new Completion(1, id(9000), AttemptOutcome.SUCCESS, 1, Optional.empty());
    dispatcher.complete(1, completion);
    dispatcher.complete(1, completion);
    registry.announce(1, announcement(9001, State.WARM));

    List<Decision> next =
        List.of(dispatcher.request(1, request(2)), dispatcher.request(1, request(3)));

    assertThat(next)
        .containsExactlyElementsIn(
            next.contains(new Decision.Assigned(2, id(9000), V1))
                ? List.of(
                    new Decision.Assigned(2, id(9000), V1), new Decision.Assigned(3, id(9001), V1))
                : List.of(
                    new Decision.Assigned(2, id(9001), V1),
                    new Decision.Assigned(3, id(9000), V1)));
  }

  private static TargetId id(int port) {
    return new TargetId("127.0.0.1", port);
  }

  private static DispatchRequest request(long attemptId) {
    return new DispatchRequest(
        attemptId,
        SERVICE,
        new AccountName("alpha"),
        new RouteName("list"),
        true,
        5,
        64,
        1_000_000_000L,
        1_000_000_000L,
        false,
        Set.of());
  }

  private void warm(int port) {
    warmupTable.merge(new WarmupState(id(port), 1, 1, true, 0));
  }

  private static LeasedEntryView viewOf(InstanceName... entries) {
    List<EntryView.Member> members =
        Arrays.stream(entries)
            .map(each -> new EntryView.Member(each, NORTH, new Endpoint("127.0.0.1", 7000)))
            .toList();
    return new LeasedEntryView(new EntryView(1, members), 0, 1_000);
  }

  private static TargetAnnouncement announcement(int port, State state) {
    return new TargetAnnouncement(SERVICE, id(port), V1, NORTH, 1, 4, 1, state, 10_000);
  }
}
