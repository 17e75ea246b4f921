package org.waxwingbeam.peer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.peer.SoftRecord.Kind;

/**
 * Holds the latest record of every key and says which records are news. A record with a lower boot
 * id and generation never replaces a higher one, so that records may arrive late, twice and in any
 * order.
 *
 * <p>Any thread may call it; its lock is held for one call and no other lock is taken within it.
 *
 * <pre>{@code
 * List<SoftRecord> news = state.merge(now, received);
 * forward(news);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class SoftStateStore {
  private static final Comparator<SoftRecord> ORDER =
      Comparator.comparing(SoftRecord::kind).thenComparing(SoftRecord::key);

  private final Map<Key, Held> records = new HashMap<>();

  /**
   * Takes records, found here or received.
   *
   * @param nowNanos the entry's monotonic clock
   * @param offered the records
   * @return those that told something new, in their order
   */
  public synchronized List<SoftRecord> merge(long nowNanos, List<SoftRecord> offered) {
    return offered.stream().filter(each -> take(nowNanos, each)).toList();
  }

  /** Returns every record that is still kept, ordered by kind and key. */
  public synchronized List<SoftRecord> records(long nowNanos) {
    records.values().removeIf(each -> nowNanos - each.expiryNanos >= 0);
    return records.values().stream().map(each -> each.aged(nowNanos)).sorted(ORDER).toList();
  }

  private boolean take(long nowNanos, SoftRecord offered) {
    Key key = new Key(offered.kind(), offered.key());
    Held held = records.get(key);
    boolean expired = held != null && nowNanos - held.expiryNanos >= 0;
    if (held != null && !expired && !offered.supersedes(held.content)) {
      return false;
    }
    long expiry = nowNanos + TimeUnit.MILLISECONDS.toNanos(offered.timeToLiveMs());
    records.put(key, new Held(offered, expiry));
    return true;
  }

  private record Key(Kind kind, String key) {}

  private record Held(SoftRecord content, long expiryNanos) {
    SoftRecord aged(long nowNanos) {
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
