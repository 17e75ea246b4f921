package org.waxwingbeam.target;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.TargetAnnouncement.State;

class TargetRegistryTest {
  private static final ServiceName SERVICE = new ServiceName("listing");
  private static final long MS = 1_000_000;

  private final TargetRegistry registry = new TargetRegistry();

  @Test
  void announcementIsValidForItsTimeToLiveFromItsLastRepetition() {
    registry.announce(0, announcement(1, State.WARM));
    registry.announce(600 * MS, announcement(1, State.WARM));

    assertThat(registry.expire(1_599 * MS)).isEmpty();
    assertThat(registry.expire(1_600 * MS)).containsExactly(announcement(1, State.WARM));
    assertThat(registry.targets(SERVICE)).isEmpty();
  }

  @Test
  void lowerBootIdDoesNotReplaceHigherOneEvenAfterItExpired() {
    registry.announce(0, announcement(2, State.WARM));
    registry.expire(1_000 * MS);

    TargetRegistry.AnnounceResult result =
        registry.announce(1_001 * MS, announcement(1, State.WARM));

    assertThat(result).isEqualTo(new TargetRegistry.AnnounceResult.Outdated(2));
    assertThat(registry.targets(SERVICE)).isEmpty();
  }

  @Test
  void drainingTargetStaysDrainingUntilItsNextStart() {
    registry.announce(0, announcement(1, State.DRAINING));
    registry.announce(1, announcement(1, State.WARM));

    assertThat(registry.targets(SERVICE)).containsExactly(announcement(1, State.DRAINING));

    registry.announce(2, announcement(2, State.COLD));

    assertThat(registry.targets(SERVICE)).containsExactly(announcement(2, State.COLD));
  }

  @Test
  void repeatedAnnouncementChangesNothing() {
    registry.announce(0, announcement(1, State.WARM));

    assertThat(registry.announce(1, announcement(1, State.WARM)))
        .isEqualTo(new TargetRegistry.AnnounceResult.Renewed());
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
