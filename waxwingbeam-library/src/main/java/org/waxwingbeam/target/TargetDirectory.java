package org.waxwingbeam.target;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.waxwingbeam.wire.feed.TargetRecord;

/**
 * Directory of the latest record that each target has reported. Records may arrive late, repeatedly
 * and in any order: a record of a later start of the target replaces one of an earlier start, and
 * within a start the higher report number wins.
 *
 * <pre>{@code
 * if (directory.merge(nowNanos, record) == TargetDirectory.MergeResult.CHANGED) {
 *   publish(record);
 * }
 * }</pre>
 *
 * <p>Not thread-safe.
 *
 * @since 0.1.0
 */
public final class TargetDirectory {
  private static final long NANOS_PER_MS = 1_000_000;

  /** Reported ends of a cold start that differ by no more than this count as equal. */
  private static final long COLD_END_TOLERANCE_NANOS = 250 * NANOS_PER_MS;

  /** Number of records above which the oldest record of a departed target is dropped. */
  private static final int MAX_RECORDS = 4_096;

  private final Map<String, Entry> byId = new HashMap<>();

  /** Result of merging a record. */
  public enum MergeResult {
    /** The record differs from the known one. */
    CHANGED,
    /** The record repeats the known one. */
    REFRESHED,
    /** The record is older than the known one. */
    STALE
  }

  private record Entry(TargetRecord record, long receivedNanos, long coldEndNanos) {}

  /**
   * Merges a record.
   *
   * @param nowNanos when it was received, on the monotonic clock
   * @param record the record; one in state GONE without a start time applies to the known start of
   *     the target
   */
  public MergeResult merge(long nowNanos, TargetRecord record) {
    Entry known = byId.get(record.getId());
    TargetRecord completed = completed(record, known);
    if (known != null && isOlder(completed, known.record())) {
      return MergeResult.STALE;
    }
    if (known == null && isSuperseded(completed)) {
      return MergeResult.STALE;
    }
    long coldEnd = nowNanos + completed.getColdLeftMs() * NANOS_PER_MS;
    Entry entry = new Entry(completed, nowNanos, coldEnd);
    byId.put(completed.getId(), entry);
    dropOldestDeparted();
    return known == null || differs(nowNanos, known, entry)
        ? MergeResult.CHANGED
        : MergeResult.REFRESHED;
  }

  /**
   * Completes a record in state GONE that has no start time from the known record of the target.
   */
  private static TargetRecord completed(TargetRecord record, Entry known) {
    boolean withoutStart =
        record.getState() == TargetRecord.State.GONE && record.getStartedMs() == 0;
    if (!withoutStart || known == null) {
      return record;
    }
    return known.record().toBuilder().setState(TargetRecord.State.GONE).setColdLeftMs(0).build();
  }

  private static boolean isOlder(TargetRecord record, TargetRecord known) {
    if (record.getStartedMs() != known.getStartedMs()) {
      return record.getStartedMs() < known.getStartedMs();
    }
    if (record.getState() == TargetRecord.State.GONE) {
      return known.getState() == TargetRecord.State.GONE;
    }
    return known.getState() == TargetRecord.State.GONE
        || record.getReport() < known.getReport()
        || (record.getReport() == known.getReport()
            && record.getState().getNumber() < known.getState().getNumber());
  }

  /** Returns whether another target that started later has the same address. */
  private boolean isSuperseded(TargetRecord record) {
    return byId.values().stream()
        .map(Entry::record)
        .filter(each -> isAtSameAddress(each, record))
        .anyMatch(each -> each.getStartedMs() > record.getStartedMs());
  }

  private static boolean isAtSameAddress(TargetRecord one, TargetRecord other) {
    return one.getPort() == other.getPort()
        && one.getHost().equals(other.getHost())
        && !one.getId().equals(other.getId());
  }

  private static boolean differs(long nowNanos, Entry before, Entry after) {
    boolean sameColdEnd =
        Math.abs(before.coldEndNanos() - after.coldEndNanos()) <= COLD_END_TOLERANCE_NANOS
            || (before.coldEndNanos() <= nowNanos && after.coldEndNanos() <= nowNanos);
    return !sameColdEnd
        || !withoutChangingFields(before.record()).equals(withoutChangingFields(after.record()));
  }

  private static TargetRecord withoutChangingFields(TargetRecord record) {
    return record.toBuilder().clearReport().clearColdLeftMs().build();
  }

  private void dropOldestDeparted() {
    if (byId.size() <= MAX_RECORDS) {
      return;
    }
    byId.values().stream()
        .filter(each -> each.record().getState() == TargetRecord.State.GONE)
        .min((one, other) -> Long.compare(one.receivedNanos(), other.receivedNanos()))
        .ifPresent(each -> byId.remove(each.record().getId()));
  }

  /**
   * Returns the latest record of a target.
   *
   * @param nowNanos the current time, for the remaining time of its cold start
   */
  public Optional<TargetRecord> find(long nowNanos, String id) {
    return Optional.ofNullable(byId.get(id)).map(each -> asOf(nowNanos, each));
  }

  /**
   * Returns the records to tell an entry instance that has just connected: those of departed
   * targets, and of targets that have reported recently. A target that reports to another replica
   * may have left there, which this replica does not learn.
   *
   * @param nowNanos the current time
   * @param lifetimeNanos age of its latest report at which a target is no longer presumed ready
   */
  public List<TargetRecord> currentRecords(long nowNanos, long lifetimeNanos) {
    return byId.values().stream()
        .filter(each -> isCurrent(nowNanos, lifetimeNanos, each))
        .map(each -> asOf(nowNanos, each))
        .toList();
  }

  private static boolean isCurrent(long nowNanos, long lifetimeNanos, Entry entry) {
    return entry.record().getState() != TargetRecord.State.READY
        || nowNanos - entry.receivedNanos() <= lifetimeNanos;
  }

  private static TargetRecord asOf(long nowNanos, Entry entry) {
    long leftMs = Math.max(0, entry.coldEndNanos() - nowNanos) / NANOS_PER_MS;
    return entry.record().toBuilder().setColdLeftMs((int) leftMs).build();
  }
}
