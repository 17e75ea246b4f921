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
 * Knows which entry instances this one hears, directly or through others, from the presence records
 * that each of them shares.
 *
 * <p>An entry instance whose configuration may be out of date goes on serving only if it hears half
 * or more of the others: then the control replicas are out of reach for the fleet, and not this
 * instance for them.
 *
 * <pre>{@code
 * peers.publish(reach.presence());
 * reach.receive(now, record);
 * boolean isolated = !control.isFresh() && reach.isMinority(now, view);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class PeerPresence {
  /** How often an entry instance shares its presence. */
  public static final long PRESENCE_PERIOD_MS = 500;

  private static final long PRESENCE_TIME_TO_LIVE_MS = 2_000;

  private final InstanceName self;
  private final long bootId;
  private final AtomicLong generation = new AtomicLong();
  private final Map<InstanceName, Long> presentUntilNanos = new ConcurrentHashMap<>();

  /**
   * Creates the table; nobody is heard yet.
   *
   * @param self this entry instance
   * @param bootId greater after each start of this entry instance
   */
  public PeerPresence(InstanceName self, long bootId) {
    this.self = self;
    this.bootId = bootId;
  }

  /** Returns the next record that tells others of this entry instance. */
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
   * Takes a record that was received; those of other kinds are passed over.
   *
   * @param nowNanos the entry's monotonic clock
   * @param record what was received
   */
  public void receive(long nowNanos, SoftRecord record) {
    if (record.kind() == Kind.PRESENCE) {
      long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(record.timeToLiveMs());
      presentUntilNanos.put(new InstanceName(record.key()), untilNanos);
    }
  }

  /**
   * Returns whether fewer than half of the other entry instances are heard.
   *
   * @param nowNanos the entry's monotonic clock
   * @param view the live entry instances, as last known
   */
  public boolean isInMinority(long nowNanos, EntryView view) {
    long others = view.members().stream().filter(each -> !each.name().equals(self)).count();
    long heard =
        view.members().stream()
            .map(EntryView.Member::name)
            .filter(name -> !name.equals(self) && isHeard(nowNanos, name))
            .count();
    return 2 * heard < others;
  }

  private boolean isHeard(long nowNanos, InstanceName name) {
    Long untilNanos = presentUntilNanos.get(name);
    return untilNanos != null && nowNanos - untilNanos < 0;
  }
}
