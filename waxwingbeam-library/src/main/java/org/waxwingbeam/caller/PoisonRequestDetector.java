package org.waxwingbeam.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.waxwingbeam.model.TargetId;

/**
 * Detects poison requests, which crash the targets that run them.
 *
 * <p>A request is poison once two different targets have gone down while they ran it, the second
 * attempt being sent after the first target was lost. It is then refused for the retention time of
 * its template. A lost connection alone is no evidence: a target that lives on may tear a response.
 * A complete response to the same request shows that the targets went down for another reason, and
 * clears the suspicion. The fingerprint covers the client account, so that one account's requests
 * are never refused because of another's.
 *
 * <pre>{@code
 * poison.onConnectionLost(lossNanos, fingerprint, target, sentNanos, retentionMs);
 * boolean refused = poison.isPoison(now, fingerprint.requestDigest());
 * }</pre>
 *
 * @since 0.1.0
 */
public final class PoisonRequestDetector {
  /** Default number of crashed targets after which a request is refused. */
  public static final int DEFAULT_CRASH_LIMIT = 2;

  private static final int MAX_SUSPECTS = 10_000;
  private static final long NANOS_PER_MS = 1_000_000;

  // Lock order: this object's monitor is a leaf; no other lock is taken while it is held.
  private final Map<String, Suspect> suspects = new LinkedHashMap<>();
  private final Map<String, Integer> suspectCountsByPath = new LinkedHashMap<>();
  private final Set<String> changedFingerprints = new HashSet<>();
  private final Map<String, Integer> checksByRequest = new HashMap<>();
  private final int crashLimit;
  private volatile boolean empty = true;

  /**
   * Creates a detector that refuses requests after {@link #DEFAULT_CRASH_LIMIT} crashed targets.
   */
  public PoisonRequestDetector() {
    this(DEFAULT_CRASH_LIMIT);
  }

  /**
   * Creates a detector.
   *
   * @param crashLimit the number of crashed targets after which a request is refused
   */
  public PoisonRequestDetector(int crashLimit) {
    this.crashLimit = crashLimit;
  }

  /** Returns whether no request is suspected. Takes no lock. */
  public boolean isEmpty() {
    return empty;
  }

  /** Returns whether any request with this digest of account, method and path is suspected. */
  public synchronized boolean mayContain(String pathDigest) {
    return suspectCountsByPath.containsKey(pathDigest);
  }

  /** Returns whether requests with this digest are currently refused. */
  public synchronized boolean isPoison(long nowNanos, String requestDigest) {
    return crashCount(nowNanos, requestDigest) >= crashLimit;
  }

  /**
   * Returns whether requests with this digest are refused if all targets that are being checked
   * turn out to have crashed.
   */
  public synchronized boolean mayBecomePoison(long nowNanos, String requestDigest) {
    int checks = checksByRequest.getOrDefault(requestDigest, 0);
    return crashCount(nowNanos, requestDigest) + checks >= crashLimit;
  }

  private int crashCount(long nowNanos, String requestDigest) {
    expire(nowNanos);
    Suspect suspect = suspects.get(requestDigest);
    return suspect == null ? 0 : suspect.targets.size();
  }

  /** Records that a target is being checked after it lost a connection under a request. */
  public synchronized void onCheckStarted(String requestDigest) {
    checksByRequest.merge(requestDigest, 1, Integer::sum);
  }

  /** Records that the check of a target has ended. */
  public synchronized void onCheckEnded(String requestDigest) {
    checksByRequest.computeIfPresent(requestDigest, (key, count) -> count == 1 ? null : count - 1);
  }

  /**
   * Records that a connection was lost while its target ran a request, and that the target went
   * down with it.
   *
   * @param nowNanos when the connection was lost, on the entry instance's monotonic clock
   * @param fingerprint identifies the request
   * @param target the target that went down
   * @param sentNanos when the request was sent to that target
   * @param retentionMs how long the request is refused once it is poison
   */
  public synchronized void onConnectionLost(
      long nowNanos, Fingerprint fingerprint, TargetId target, long sentNanos, long retentionMs) {
    expire(nowNanos);
    Suspect known = suspects.get(fingerprint.requestDigest());
    if (known != null && sentNanos - known.lastLossNanos < 0) {
      // Sent before the previous connection was lost: both targets may have failed together for a
      // reason that has nothing to do with the request.
      return;
    }
    Set<TargetId> targets = new HashSet<>(known == null ? Set.of() : known.targets);
    targets.add(target);
    put(fingerprint, new Suspect(fingerprint.pathDigest(), targets, nowNanos, retentionMs));
    changedFingerprints.add(fingerprint.requestDigest());
  }

  /** Records that a request got a complete response, so that it is no longer suspected. */
  public synchronized void onResponse(String requestDigest) {
    remove(requestDigest);
  }

  /** Merges a record from another entry instance. */
  public synchronized void merge(long nowNanos, CrashRecord record) {
    expire(nowNanos);
    long lastNanos = nowNanos - record.ageMs() * NANOS_PER_MS;
    Suspect known = suspects.get(record.fingerprint());
    Set<TargetId> targets = new HashSet<>(known == null ? Set.of() : known.targets);
    targets.addAll(record.targets());
    long latest =
        known != null && known.lastLossNanos - lastNanos > 0 ? known.lastLossNanos : lastNanos;
    put(
        new Fingerprint(record.fingerprint(), record.pathDigest()),
        new Suspect(record.pathDigest(), targets, latest, record.retentionMs()));
    expire(nowNanos);
  }

  /**
   * Returns the records changed locally since the last call, to be sent to other entry instances.
   */
  public synchronized List<CrashRecord> drainChanges(long nowNanos) {
    expire(nowNanos);
    List<CrashRecord> records = new ArrayList<>();
    changedFingerprints.stream()
        .filter(suspects::containsKey)
        .sorted()
        .forEach(each -> records.add(record(nowNanos, each)));
    changedFingerprints.clear();
    return records;
  }

  private CrashRecord record(long nowNanos, String requestDigest) {
    Suspect suspect = suspects.get(requestDigest);
    return new CrashRecord(
        requestDigest,
        suspect.pathDigest,
        suspect.targets,
        (nowNanos - suspect.lastLossNanos) / NANOS_PER_MS,
        suspect.retentionMs);
  }

  private void put(Fingerprint fingerprint, Suspect suspect) {
    remove(fingerprint.requestDigest());
    if (suspects.size() >= MAX_SUSPECTS) {
      remove(suspects.keySet().iterator().next());
    }
    suspects.put(fingerprint.requestDigest(), suspect);
    suspectCountsByPath.merge(suspect.pathDigest, 1, Integer::sum);
    empty = false;
  }

  private void remove(String requestDigest) {
    Suspect suspect = suspects.remove(requestDigest);
    if (suspect != null) {
      suspectCountsByPath.computeIfPresent(
          suspect.pathDigest, (key, count) -> count == 1 ? null : count - 1);
    }
    empty = suspects.isEmpty();
  }

  private void expire(long nowNanos) {
    List<String> expired =
        suspects.entrySet().stream()
            .filter(each -> each.getValue().isExpired(nowNanos))
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(this::remove);
  }

  /**
   * The digests that identify a request.
   *
   * @param requestDigest digest of client account, method, path and body, as hexadecimal text
   * @param pathDigest digest of client account, method and path alone, as hexadecimal text
   */
  public record Fingerprint(String requestDigest, String pathDigest) {}

  /** A request during which connections were lost. */
  private record Suspect(
      String pathDigest, Set<TargetId> targets, long lastLossNanos, long retentionMs) {
    boolean isExpired(long nowNanos) {
      return nowNanos - lastLossNanos >= retentionMs * NANOS_PER_MS;
    }
  }
}
