package org.waxwingbeam.peer;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.peer.SoftRecord.Kind;

/**
 * Tracks which entry instances are reachable from this one, directly or through others, by the
 * presence records that each of them shares.
 *
 * <p>An entry instance whose configuration may be out of date continues to serve only if it reaches
 * at least half of the others: in that case the control replicas are unreachable for the whole
 * fleet, and not for this instance alone.
 *
 * <pre>{@code
 * network.publish(presence.nextPresenceRecord());
 * presence.receive(now, record);
 * boolean isolated = !control.hasValidLease() && presence.isInMinority(now, view);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class PeerPresence {
  /** Interval at which an entry instance shares its presence. */
  public static final long PRESENCE_PERIOD_MS = 500;

  private static final long PRESENCE_TIME_TO_LIVE_MS = 2_000;

  private final InstanceName self;
  private final long bootId;
  private final AtomicLong generation = new AtomicLong();
  private final Map<InstanceName, Long> presentUntilNanos = new ConcurrentHashMap<>();

  /**
   * Creates a tracker that knows of no other entry instance yet.
   *
   * @param self this entry instance
   * @param bootId greater after each start of this entry instance
   */
  public PeerPresence(InstanceName self, long bootId) {
    this.self = self;
    this.bootId = bootId;
  }

  /** Returns the next presence record of this entry instance. */
  public SoftRecord nextPresenceRecord() {
    return new SoftRecord(
        Kind.PRESENCE,
        self.value(),
        bootId,
        generation.incrementAndGet(),
        ByteString.EMPTY,
        PRESENCE_TIME_TO_LIVE_MS);
  }

  /**
   * Processes a received record; ignores records that are not presence records.
   *
   * @param nowNanos the entry's monotonic clock
   * @param record the received record
   */
  public void receive(long nowNanos, SoftRecord record) {
    if (record.kind() == Kind.PRESENCE) {
      long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(record.timeToLiveMs());
      presentUntilNanos.put(new InstanceName(record.key()), untilNanos);
    }
  }

  /**
   * Returns whether fewer than half of the other entry instances are present.
   *
   * @param nowNanos the entry's monotonic clock
   * @param view the live entry instances, as last known
   */
  public boolean isInMinority(long nowNanos, EntryView view) {
    long others = view.members().stream().filter(each -> !each.name().equals(self)).count();
    long present =
        view.members().stream()
            .map(EntryView.Member::name)
            .filter(name -> !name.equals(self) && isPresent(nowNanos, name))
            .count();
    return 2 * present < others;
  }

  private boolean isPresent(long nowNanos, InstanceName name) {
    Long untilNanos = presentUntilNanos.get(name);
    return untilNanos != null && nowNanos - untilNanos < 0;
  }
}
