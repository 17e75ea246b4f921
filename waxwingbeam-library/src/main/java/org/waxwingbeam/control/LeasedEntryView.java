package org.waxwingbeam.control;

/**
 * An entry view together with the times between which an entry instance may act on it.
 *
 * <p>Between {@code exclusiveFromNanos} and {@code validUntilNanos} the view may be used
 * exclusively: no other entry instance uses an older view in this way, since each has confirmed
 * this view or its lease on an older one has expired. Actions that two entry instances must never
 * take at once, such as sending to a target in a cold start, are taken only in this period.
 *
 * @param view the entry view
 * @param exclusiveFromNanos start of exclusive use, on this entry instance's monotonic clock
 * @param validUntilNanos end of the lease on the view, on this entry instance's monotonic clock
 * @since 0.1.0
 */
public record LeasedEntryView(EntryView view, long exclusiveFromNanos, long validUntilNanos) {
  /** Holds no view and no lease. */
  public static final LeasedEntryView NONE = new LeasedEntryView(EntryView.EMPTY, 0, 0);

  /**
   * Returns whether the view may be used exclusively.
   *
   * @param nowNanos the current time on this entry instance's monotonic clock
   */
  public boolean isExclusiveAt(long nowNanos) {
    return nowNanos - exclusiveFromNanos >= 0 && nowNanos - validUntilNanos < 0;
  }
}
