package org.waxwingbeam.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.wire.control.Lease;

/**
 * Computes, at an entry instance, how long its leases last.
 *
 * <p>A lease counts from when the heartbeat that asked for it was sent, on the instance's own
 * monotonic clock, so that neither the network's delay nor another machine's clock can prolong it.
 *
 * @since 0.1.0
 */
public final class LeaseTracker {
  private static final int MAX_OUTSTANDING = 32;

  private final Map<Long, Long> sentNanos =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_OUTSTANDING;
        }
      };

  private long lastSequence;
  private boolean granted;
  private long validUntilNanos;
  private long settledView;
  private long settledNanos;
  private long newestNumber;

  /**
   * Notes that a heartbeat is sent now.
   *
   * @param nowNanos the present time
   * @return its sequence
   */
  public long heartbeatSent(long nowNanos) {
    lastSequence++;
    sentNanos.put(lastSequence, nowNanos);
    return lastSequence;
  }

  /**
   * Notes that a lease has arrived.
   *
   * @param nowNanos the present time
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
    if (lease.getSettledViewNumber() > settledView) {
      settledView = lease.getSettledViewNumber();
      settledNanos = nowNanos;
    }
  }

  /** Returns whether the lease lasts. */
  public boolean isValid(long nowNanos) {
    return granted && nowNanos - validUntilNanos < 0;
  }

  /** Returns the newest configuration that a control replica has announced with a lease. */
  public long newestNumber() {
    return newestNumber;
  }

  /**
   * Returns a view with the times between which it may be used.
   *
   * @param view the newest view that was received
   */
  public LeasedEntryView leased(EntryView view) {
    boolean settled = granted && settledView >= view.number();
    long strictFrom = settled ? settledNanos : validUntilNanos;
    return new LeasedEntryView(view, strictFrom, validUntilNanos);
  }
}
