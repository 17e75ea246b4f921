package org.waxwingbeam.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.TargetAnnouncement;
import org.waxwingbeam.target.TargetAnnouncement.State;
import org.waxwingbeam.target.TargetRegistry;
import org.waxwingbeam.wire.peer.SharedAnnouncement;

/**
 * Replicates the announcements of targets to the other entry instances.
 *
 * <p>The entry instance to which a target announces itself is its voucher: it shares new and
 * changed announcements, but not repeated ones, and withdraws the target when its announcement
 * expires. If a voucher leaves the entry view, its targets expire unless they announce themselves
 * to another entry instance.
 *
 * <p>Thread-safe. Its lock is acquired before the registry's.
 *
 * @since 0.1.0
 */
public final class AnnouncementReplicator {
  private static final long TIME_TO_LIVE_MS = TimeUnit.DAYS.toMillis(30);

  private final InstanceName self;
  private final TargetRegistry registry;
  private final Consumer<SoftRecord> publisher;
  private final Map<TargetId, Generation> generations = new HashMap<>();

  /**
   * Creates a replicator.
   *
   * @param self this entry instance
   * @param registry the targets of this entry instance
   * @param publisher shares a record with the other entry instances
   */
  public AnnouncementReplicator(
      InstanceName self, TargetRegistry registry, Consumer<SoftRecord> publisher) {
    this.self = self;
    this.registry = registry;
    this.publisher = publisher;
  }

  /**
   * Registers a target that announces itself to this entry instance, and shares the announcement if
   * it is new or has changed.
   */
  public synchronized TargetRegistry.AnnounceResult announce(
      long nowNanos, TargetAnnouncement announcement) {
    TargetRegistry.AnnounceResult result = registry.announce(nowNanos, announcement);
    if (result instanceof TargetRegistry.AnnounceResult.Changed changed) {
      publish(changed.effective(), false);
    }
    return result;
  }

  /**
   * Withdraws the targets whose announcements to this entry instance have expired.
   *
   * @param nowNanos the entry's monotonic clock
   * @param live the live entry instances; announcements of other vouchers start to expire
   */
  public synchronized void expire(long nowNanos, Set<InstanceName> live) {
    registry.expireDepartedPeers(nowNanos, live);
    registry.expire(nowNanos).forEach(gone -> publish(gone, true));
  }

  /** Processes a record from another entry instance; ignores records that are not announcements. */
  public synchronized void receive(long nowNanos, SoftRecord record) {
    if (record.kind() != SoftRecord.Kind.ANNOUNCEMENT) {
      return;
    }
    try {
      apply(nowNanos, record, SharedAnnouncement.parseFrom(record.value()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException malformed) {
      // ignored: no release of this program writes such a record
    }
  }

  private void apply(long nowNanos, SoftRecord record, SharedAnnouncement shared) {
    TargetAnnouncement announcement = fromWire(record.bootId(), shared);
    generations.put(announcement.target(), new Generation(record.bootId(), record.generation()));
    if (!shared.getWithdrawn()) {
      registry.announceFromPeer(nowNanos, announcement, new InstanceName(shared.getVoucher()));
    } else if (registry.isAnnouncedHere(nowNanos, announcement)) {
      publish(announcement, false);
    } else {
      registry.withdraw(announcement);
    }
  }

  private void publish(TargetAnnouncement announcement, boolean withdrawn) {
    Generation next =
        generations.merge(
            announcement.target(),
            new Generation(announcement.bootId(), 1),
            (known, first) -> known.next(announcement.bootId()));
    publisher.accept(
        new SoftRecord(
            SoftRecord.Kind.ANNOUNCEMENT,
            announcement.target().toString(),
            announcement.bootId(),
            next.number,
            toWire(announcement, withdrawn).toByteString(),
            TIME_TO_LIVE_MS));
  }

  private SharedAnnouncement toWire(TargetAnnouncement announcement, boolean withdrawn) {
    return SharedAnnouncement.newBuilder()
        .setService(announcement.service().value())
        .setHost(announcement.target().host())
        .setPort(announcement.target().port())
        .setVersion(announcement.version().value())
        .setDataCentre(announcement.dataCentre().value())
        .setSlots(announcement.slots())
        .setColdCapacity(announcement.coldCapacity())
        .setState(stateToWire(announcement.state()))
        .setTargetTimeToLiveMs(announcement.timeToLiveMs())
        .setVoucher(self.value())
        .setWithdrawn(withdrawn)
        .build();
  }

  private static TargetAnnouncement fromWire(long bootId, SharedAnnouncement shared) {
    return new TargetAnnouncement(
        new ServiceName(shared.getService()),
        new TargetId(shared.getHost(), shared.getPort()),
        new VersionName(shared.getVersion()),
        new DataCentreName(shared.getDataCentre()),
        bootId,
        shared.getSlots(),
        shared.getColdCapacity(),
        stateFromWire(shared.getState()),
        shared.getTargetTimeToLiveMs());
  }

  private static SharedAnnouncement.State stateToWire(State state) {
    return switch (state) {
      case COLD -> SharedAnnouncement.State.COLD;
      case WARM -> SharedAnnouncement.State.WARM;
      case DRAINING -> SharedAnnouncement.State.DRAINING;
    };
  }

  private static State stateFromWire(SharedAnnouncement.State state) {
    return switch (state) {
      case WARM -> State.WARM;
      case DRAINING -> State.DRAINING;
      case COLD, STATE_UNSPECIFIED, UNRECOGNIZED -> State.COLD;
    };
  }

  private record Generation(long bootId, long number) {
    Generation next(long nextBootId) {
      return new Generation(nextBootId, nextBootId == bootId ? number + 1 : 1);
    }
  }
}
