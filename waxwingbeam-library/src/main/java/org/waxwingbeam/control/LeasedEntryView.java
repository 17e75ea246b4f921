package org.waxwingbeam.control;

/**
 * Holds an entry view together with the times between which an entry instance may act on it.
 *
 * <p>Between {@code strictFromNanos} and {@code validUntilNanos} no other entry instance acts
 * strictly on an older view: each has confirmed this one, or its lease on an older one has run out.
 * What must never be done by two entry instances at once, such as sending to a target in a cold
 * start, is done only between the two.
 *
 * @param view the view
 * @param exclusiveFromNanos when strict use may begin, on this entry's monotonic clock
 * @param validUntilNanos when the lease on the view runs out, on this entry's monotonic clock
 * @since 0.1.0
 */
public record LeasedEntryView(EntryView view, long exclusiveFromNanos, long validUntilNanos) {
  /** Holds no view and no lease. */
  public static final LeasedEntryView NONE = new LeasedEntryView(EntryView.EMPTY, 0, 0);

  /**
   * Returns whether the view may be used strictly.
   *
   * @param nowNanos the entry's monotonic clock
   */
  public boolean isExclusiveAt(long nowNanos) {
    return nowNanos - exclusiveFromNanos >= 0 && nowNanos - validUntilNanos < 0;
  }
}
