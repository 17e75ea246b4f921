package org.waxwingbeam.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.TargetAnnouncement;
import org.waxwingbeam.target.TargetAnnouncement.State;
import org.waxwingbeam.target.TargetRegistry;

class AnnouncementReplicatorTest {
  private static final ServiceName SERVICE = new ServiceName("listing");
  private static final InstanceName ONE = new InstanceName("entry-1");
  private static final InstanceName TWO = new InstanceName("entry-2");
  private static final Set<InstanceName> BOTH = Set.of(ONE, TWO);
  private static final long MS = 1_000_000;

  private final List<SoftRecord> shared = new ArrayList<>();
  private final TargetRegistry firstRegistry = new TargetRegistry();
  private final TargetRegistry secondRegistry = new TargetRegistry();
  private final AnnouncementReplicator firstReplicator =
      new AnnouncementReplicator(ONE, firstRegistry, shared::add);
  private final AnnouncementReplicator secondReplicator =
      new AnnouncementReplicator(TWO, secondRegistry, shared::add);

  @Test
  void targetThatAnnouncesItselfAtOneEntryIsKnownAtTheOther() {
    firstReplicator.announce(0, announcement(1, State.WARM));
    secondReplicator.receive(0, shared.getLast());

    assertThat(secondRegistry.targets(SERVICE)).containsExactly(announcement(1, State.WARM));
  }

  @Test
  void repeatedAnnouncementIsNotShared() {
    firstReplicator.announce(0, announcement(1, State.WARM));
    firstReplicator.announce(300 * MS, announcement(1, State.WARM));

    assertThat(shared).hasSize(1);
  }

  @Test
  void voucherWithdrawsTargetThatNoLongerAnnouncesItself() {
    firstReplicator.announce(0, announcement(1, State.WARM));
    secondReplicator.receive(0, shared.getLast());
    secondReplicator.expire(5_000 * MS, BOTH);
    assertThat(secondRegistry.targets(SERVICE)).hasSize(1);

    firstReplicator.expire(1_000 * MS, BOTH);
    secondReplicator.receive(1_000 * MS, shared.getLast());
    assertThat(secondRegistry.targets(SERVICE)).isEmpty();
  }

  @Test
  void withdrawalIsOverriddenByTheEntryToWhichTheTargetAnnouncesItself() {
    firstReplicator.announce(0, announcement(1, State.WARM));
    secondReplicator.receive(0, shared.getLast());
    secondReplicator.announce(900 * MS, announcement(1, State.WARM));
    firstReplicator.expire(1_000 * MS, BOTH);
    secondReplicator.receive(1_000 * MS, shared.getLast());
    firstReplicator.receive(1_000 * MS, shared.getLast());

    assertThat(firstRegistry.targets(SERVICE)).hasSize(1);
    assertThat(secondRegistry.targets(SERVICE)).hasSize(1);
  }

  @Test
  void targetsOfVoucherThatLeftTheViewExpire() {
    firstReplicator.announce(0, announcement(1, State.WARM));
    secondReplicator.receive(0, shared.getLast());
    secondReplicator.expire(100 * MS, Set.of(TWO));
    secondReplicator.expire(1_099 * MS, Set.of(TWO));
    assertThat(secondRegistry.targets(SERVICE)).hasSize(1);

    secondReplicator.expire(1_100 * MS, Set.of(TWO));
    assertThat(secondRegistry.targets(SERVICE)).isEmpty();
  }

  @Test
  void drainIsShared() {
    firstReplicator.announce(0, announcement(1, State.WARM));
    secondReplicator.receive(0, shared.getLast());
    firstReplicator.announce(1, announcement(1, State.DRAINING));
    secondReplicator.receive(1, shared.getLast());

    assertThat(secondRegistry.targets(SERVICE)).containsExactly(announcement(1, State.DRAINING));
  }

  private static TargetAnnouncement announcement(long bootId, State state) {
    return new TargetAnnouncement(
        SERVICE,
        new TargetId("127.0.0.1", 9000),
        new VersionName("v1"),
        new DataCentreName("north"),
        bootId,
        4,
        1,
        state,
        1_000);
  }
}
