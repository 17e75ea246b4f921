package org.waxwingbeam.caller;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.waxwingbeam.model.TargetId;

/**
 * Finds requests that crash the targets that run them.
 *
 * <p>A request whose connection died at two targets, the second time after it was sent again, is
 * poison: it is refused for the template's retention time. A whole answer to the same request shows
 * that the connections died of something else and clears it. The fingerprint begins with the client
 * account, so that no account's requests are refused for another's.
 *
 * <pre>{@code
 * poison.onConnectionLost(now, fingerprint, target, sentNanos, retentionMs);
 * boolean refused = poison.isPoison(now, fingerprint);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class PoisonRequestDetector {
  /** The number of targets after which a request is refused, unless another is stated. */
  public static final int DEFAULT_CRASH_LIMIT = 2;

  private static final int MAX_SUSPECTS = 10_000;
  private static final long NANOS_PER_MS = 1_000_000;

  // Lock order: the list's own monitor is a leaf; no other lock is taken while it is held.
  private final Map<String, Suspect> suspects = new LinkedHashMap<>();
  private final Map<String, Integer> prefixes = new LinkedHashMap<>();
  private final Set<String> changed = new HashSet<>();
  private final int crashesUntilRefusal;
  private volatile boolean empty = true;

  /** Creates an empty list that refuses after {@link #DEFAULT_CRASH_LIMIT} targets. */
  public PoisonRequestDetector() {
    this(DEFAULT_CRASH_LIMIT);
  }

  /**
   * Creates an empty list.
   *
   * @param crashesUntilRefusal the number of targets after which a request is refused
   */
  public PoisonRequestDetector(int crashesUntilRefusal) {
    this.crashesUntilRefusal = crashesUntilRefusal;
  }

  /** Returns whether no request is under suspicion. Costs no lock. */
  public boolean isEmpty() {
    return empty;
  }

  /** Returns whether any request of this account, method and path is under suspicion. */
  public synchronized boolean mayContain(String prefix) {
    return prefixes.containsKey(prefix);
  }

  /** Returns whether requests with this fingerprint are refused now. */
  public synchronized boolean isPoison(long nowNanos, String fingerprint) {
    expire(nowNanos);
    Suspect suspect = suspects.get(fingerprint);
    return suspect != null && suspect.targets.size() >= crashesUntilRefusal;
  }

  /**
   * Notes that a connection died under a request.
   *
   * @param nowNanos the entry's monotonic clock
   * @param fingerprint identifies the request
   * @param target where the connection died
   * @param sentNanos when the request was sent there
   * @param retentionMs how long the request is refused once it is poison
   */
  public synchronized void onConnectionLost(
      long nowNanos, Fingerprint fingerprint, TargetId target, long sentNanos, long retentionMs) {
    expire(nowNanos);
    Suspect known = suspects.get(fingerprint.requestDigest());
    if (known != null && sentNanos - known.lastNanos < 0) {
      // It was under way at the same time as the one before and says nothing new.
      return;
    }
    Set<TargetId> targets = new HashSet<>(known == null ? Set.of() : known.targets);
    targets.add(target);
    put(fingerprint, new Suspect(fingerprint.pathDigest(), targets, nowNanos, retentionMs));
    changed.add(fingerprint.requestDigest());
  }

  /** Notes that a request was answered whole, so that it does not crash targets. */
  public synchronized void onResponse(String fingerprint) {
    remove(fingerprint);
  }

  /** Takes in what another entry instance has seen. */
  public synchronized void merge(long nowNanos, CrashRecord record) {
    expire(nowNanos);
    long lastNanos = nowNanos - record.ageMs() * NANOS_PER_MS;
    Suspect known = suspects.get(record.fingerprint());
    Set<TargetId> targets = new HashSet<>(known == null ? Set.of() : known.targets);
    targets.addAll(record.targets());
    long latest = known != null && known.lastNanos - lastNanos > 0 ? known.lastNanos : lastNanos;
    put(
        new Fingerprint(record.fingerprint(), record.pathDigest()),
        new Suspect(record.pathDigest(), targets, latest, record.retentionMs()));
    expire(nowNanos);
  }

  /** Returns what this entry instance has seen since the last call, to be shared with others. */
  public synchronized List<CrashRecord> drainChanges(long nowNanos) {
    expire(nowNanos);
    List<CrashRecord> records = new ArrayList<>();
    changed.stream()
        .filter(suspects::containsKey)
        .sorted()
        .forEach(each -> records.add(record(nowNanos, each)));
    changed.clear();
    return records;
  }

  private CrashRecord record(long nowNanos, String fingerprint) {
    Suspect suspect = suspects.get(fingerprint);
    return new CrashRecord(
        fingerprint,
        suspect.prefix,
        suspect.targets,
        (nowNanos - suspect.lastNanos) / NANOS_PER_MS,
        suspect.retentionMs);
  }

  private void put(Fingerprint fingerprint, Suspect suspect) {
    remove(fingerprint.requestDigest());
    if (suspects.size() >= MAX_SUSPECTS) {
      remove(suspects.keySet().iterator().next());
    }
    suspects.put(fingerprint.requestDigest(), suspect);
    prefixes.merge(suspect.prefix, 1, Integer::sum);
    empty = false;
  }

  private void remove(String fingerprint) {
    Suspect suspect = suspects.remove(fingerprint);
    if (suspect != null) {
      prefixes.computeIfPresent(suspect.prefix, (key, count) -> count == 1 ? null : count - 1);
    }
    empty = suspects.isEmpty();
  }

  private void expire(long nowNanos) {
    List<String> due =
        suspects.entrySet().stream()
            .filter(each -> each.getValue().isOver(nowNanos))
            .map(Map.Entry::getKey)
            .toList();
    due.forEach(this::remove);
  }

  /**
   * Identifies a request.
   *
   * @param requestDigest digest of client account, method, path and body, as hexadecimal text
   * @param pathDigest digest of client account, method and path alone, as hexadecimal text
   */
  public record Fingerprint(String requestDigest, String pathDigest) {}

  /** A request whose connections have died. */
  private record Suspect(String prefix, Set<TargetId> targets, long lastNanos, long retentionMs) {
    boolean isOver(long nowNanos) {
      return nowNanos - lastNanos >= retentionMs * NANOS_PER_MS;
    }
  }
}
