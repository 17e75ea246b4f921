package org.waxwingbeam.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.wire.control.Lease;

/**
 * Tracks, at an entry instance, until when its lease is valid.
 *
 * <p>A lease counts from when the heartbeat that requested it was sent, on the instance's own
 * monotonic clock, so that neither network delay nor another machine's clock can prolong it.
 *
 * @since 0.1.0
 */
public final class LeaseTracker {
  private static final int MAX_OUTSTANDING_HEARTBEATS = 32;

  private final Map<Long, Long> sentNanos =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_OUTSTANDING_HEARTBEATS;
        }
      };

  private long lastSequence;
  private boolean granted;
  private long validUntilNanos;
  private long confirmedView;
  private long confirmedNanos;
  private long newestNumber;

  /**
   * Records that a heartbeat is sent now.
   *
   * @param nowNanos the current time
   * @return its sequence number
   */
  public long heartbeatSent(long nowNanos) {
    lastSequence++;
    sentNanos.put(lastSequence, nowNanos);
    return lastSequence;
  }

  /**
   * Records that a lease has arrived. A lease for an unknown heartbeat is ignored.
   *
   * @param nowNanos the current time
   */
  public void leaseReceived(long nowNanos, Lease lease) {
    Long sent = sentNanos.remove(lease.getSequence());
    if (sent == null) {
      return;
    }
    long until = sent + TimeUnit.MILLISECONDS.toNanos(lease.getDurationMs());
    if (!granted || until - validUntilNanos > 0) {
      granted = true;
      validUntilNanos = until;
    }
    newestNumber = Math.max(newestNumber, lease.getNewestNumber());
    if (lease.getSettledViewNumber() > confirmedView) {
      confirmedView = lease.getSettledViewNumber();
      confirmedNanos = nowNanos;
    }
  }

  /** Returns whether the lease is still valid. */
  public boolean isValid(long nowNanos) {
    return granted && nowNanos - validUntilNanos < 0;
  }

  /** Returns the number of the newest configuration that a lease has announced. */
  public long newestNumber() {
    return newestNumber;
  }

  /**
   * Adds to an entry view the times between which it may be used.
   *
   * @param view the newest entry view that was received
   */
  public LeasedEntryView toLeasedView(EntryView view) {
    boolean confirmed = granted && confirmedView >= view.number();
    long exclusiveFrom = confirmed ? confirmedNanos : validUntilNanos;
    return new LeasedEntryView(view, exclusiveFrom, validUntilNanos);
  }
}
