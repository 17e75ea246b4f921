package org.waxwingbeam.target;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.waxwingbeam.wire.feed.TargetRecord;

/**
 * Holds what targets have last said of themselves. Reports may arrive late, repeated and in any
 * order: of one start of a target the highest report number counts, and of several starts the
 * latest.
 *
 * <pre>{@code
 * if (directory.merge(nowNanos, record) == TargetDirectory.Merge.CHANGED) {
 *   publish(record);
 * }
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1.0
 */
public final class TargetDirectory {
  private static final long NANOS_PER_MS = 1_000_000;

  /** Difference between two statements of the end of a cold start that is no news. */
  private static final long COLD_END_TOLERANCE_NANOS = 250 * NANOS_PER_MS;

  /** Most targets that are remembered after they have left. */
  private static final int MAX_GONE = 4_096;

  private final Map<String, Held> byId = new HashMap<>();

  /** Tells what a report has brought. */
  public enum MergeResult {
    /** It differs from what was known. */
    CHANGED,
    /** It repeats what was known. */
    REFRESHED,
    /** It is older than what was known. */
    STALE
  }

  private record Held(TargetRecord record, long receivedNanos, long coldEndNanos) {}

  /**
   * Takes in a report.
   *
   * @param nowNanos when it was received, on the monotonic clock
   * @param record a gone record without a start or a report number ends the start that is known
   */
  public MergeResult merge(long nowNanos, TargetRecord record) {
    Held known = byId.get(record.getId());
    TargetRecord dated = dated(record, known);
    if (known != null && isOlder(dated, known.record())) {
      return MergeResult.STALE;
    }
    if (known == null && isSuperseded(dated)) {
      return MergeResult.STALE;
    }
    long coldEnd = nowNanos + dated.getColdLeftMs() * NANOS_PER_MS;
    Held held = new Held(dated, nowNanos, coldEnd);
    byId.put(dated.getId(), held);
    forgetOldest();
    return known == null || differs(nowNanos, known, held)
        ? MergeResult.CHANGED
        : MergeResult.REFRESHED;
  }

  /** Gives a gone record that names no start the start and report that are known. */
  private static TargetRecord dated(TargetRecord record, Held known) {
    boolean undated = record.getState() == TargetRecord.State.GONE && record.getStartedMs() == 0;
    if (!undated || known == null) {
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

  /** Returns whether a later start of another target has taken the address. */
  private boolean isSuperseded(TargetRecord record) {
    return byId.values().stream()
        .map(Held::record)
        .filter(each -> isAtSameAddress(each, record))
        .anyMatch(each -> each.getStartedMs() > record.getStartedMs());
  }

  private static boolean isAtSameAddress(TargetRecord one, TargetRecord other) {
    return one.getPort() == other.getPort()
        && one.getHost().equals(other.getHost())
        && !one.getId().equals(other.getId());
  }

  private static boolean differs(long nowNanos, Held before, Held after) {
    boolean sameCold =
        Math.abs(before.coldEndNanos() - after.coldEndNanos()) <= COLD_END_TOLERANCE_NANOS
            || (before.coldEndNanos() <= nowNanos && after.coldEndNanos() <= nowNanos);
    return !sameCold || !lasting(before.record()).equals(lasting(after.record()));
  }

  private static TargetRecord lasting(TargetRecord record) {
    return record.toBuilder().clearReport().clearColdLeftMs().build();
  }

  private void forgetOldest() {
    if (byId.size() <= MAX_GONE) {
      return;
    }
    byId.values().stream()
        .filter(each -> each.record().getState() == TargetRecord.State.GONE)
        .min((one, other) -> Long.compare(one.receivedNanos(), other.receivedNanos()))
        .ifPresent(each -> byId.remove(each.record().getId()));
  }

  /**
   * Returns what a target has last said.
   *
   * @param nowNanos the present time, from which the rest of its cold start is counted
   */
  public Optional<TargetRecord> find(long nowNanos, String id) {
    return Optional.ofNullable(byId.get(id)).map(each -> asOf(nowNanos, each));
  }

  /**
   * Returns every record, those of targets that have left among them.
   *
   * @param nowNanos the present time, from which the rest of each cold start is counted
   */
  public List<TargetRecord> records(long nowNanos) {
    return byId.values().stream().map(each -> asOf(nowNanos, each)).toList();
  }

  private static TargetRecord asOf(long nowNanos, Held held) {
    long leftMs = Math.max(0, held.coldEndNanos() - nowNanos) / NANOS_PER_MS;
    return held.record().toBuilder().setColdLeftMs((int) leftMs).build();
  }
}
