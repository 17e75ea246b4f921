package org.waxwingbeam.peer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.peer.SoftRecord.Kind;

/**
 * Stores the latest record of every key, and tells which received records are new. Records are
 * ordered by boot id, then by generation; an older record never replaces a newer one that has not
 * expired, so that records may arrive late, twice and in any order.
 *
 * <p>Thread-safe. Its lock is held for one call, and no other lock is acquired while it is held.
 *
 * <pre>{@code
 * List<SoftRecord> changed = state.merge(now, received);
 * forward(changed);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class SoftStateStore {
  private static final Comparator<SoftRecord> ORDER =
      Comparator.comparing(SoftRecord::kind).thenComparing(SoftRecord::key);

  private final Map<Key, Entry> records = new HashMap<>();

  /**
   * Merges records that were found by this entry instance or received from others.
   *
   * @param nowNanos the entry's monotonic clock
   * @param offered the records
   * @return the records that are new, in the given order
   */
  public synchronized List<SoftRecord> merge(long nowNanos, List<SoftRecord> offered) {
    return offered.stream().filter(each -> replaceIfNewer(nowNanos, each)).toList();
  }

  /** Returns every record that has not expired, ordered by kind and key. */
  public synchronized List<SoftRecord> records(long nowNanos) {
    records.values().removeIf(each -> nowNanos - each.expiryNanos >= 0);
    return records.values().stream()
        .map(each -> each.withRemainingTimeToLive(nowNanos))
        .sorted(ORDER)
        .toList();
  }

  private boolean replaceIfNewer(long nowNanos, SoftRecord offered) {
    Key key = new Key(offered.kind(), offered.key());
    Entry entry = records.get(key);
    boolean expired = entry != null && nowNanos - entry.expiryNanos >= 0;
    if (entry != null && !expired && !offered.supersedes(entry.content)) {
      return false;
    }
    long expiry = nowNanos + TimeUnit.MILLISECONDS.toNanos(offered.timeToLiveMs());
    records.put(key, new Entry(offered, expiry));
    return true;
  }

  private record Key(Kind kind, String key) {}

  private record Entry(SoftRecord content, long expiryNanos) {
    SoftRecord withRemainingTimeToLive(long nowNanos) {
      return new SoftRecord(
          content.kind(),
          content.key(),
          content.bootId(),
          content.generation(),
          content.value(),
          TimeUnit.NANOSECONDS.toMillis(expiryNanos - nowNanos));
    }
  }
}
