package org.waxwingbeam.control;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.waxwingbeam.wire.control.EntryMember;
import org.waxwingbeam.wire.control.EntryView;
import org.waxwingbeam.wire.operator.EntryStatus;
import org.waxwingbeam.wire.replica.ChangeEntryView;

/**
 * Tracks, at the leading control replica, which entry instances hold a lease and which
 * configuration and entry view they have confirmed.
 *
 * <p>An entry instance counts its lease from when it sent a heartbeat, the registry from when it
 * received the heartbeat. So a lease never expires in the registry before it expires at the entry
 * instance.
 *
 * @since 0.1.0
 */
public final class EntryRegistry {
  /** Duration of a lease, counted from the heartbeat that requested it. */
  public static final long LEASE_MS = 2_500;

  /** Added to the lease at the registry, because clocks do not run equally fast. */
  private static final long CLOCK_DRIFT_MARGIN_MS = 100;

  private static final long LEASE_NANOS =
      TimeUnit.MILLISECONDS.toNanos(LEASE_MS + CLOCK_DRIFT_MARGIN_MS);

  private final SortedMap<String, EntryState> entries = new TreeMap<>();

  /**
   * Resets the registry when this replica begins to lead. Every instance of the view counts as live
   * from now on, because the previous leader may have just renewed its lease.
   *
   * @param nowNanos the current time
   * @param view the newest entry view in the log
   */
  public void startTerm(long nowNanos, EntryView view) {
    entries.clear();
    view.getMembersList()
        .forEach(member -> entries.put(member.getName(), new EntryState(member, 0, 0, nowNanos)));
  }

  /**
   * Records a heartbeat.
   *
   * @param nowNanos the time of receipt
   * @param member the sender
   * @param appliedNumber the configuration that the sender applies
   * @param viewNumber the view that the sender uses
   */
  public void recordHeartbeat(
      long nowNanos, EntryMember member, long appliedNumber, long viewNumber) {
    entries.put(member.getName(), new EntryState(member, appliedNumber, viewNumber, nowNanos));
  }

  /**
   * Compares the entry view with the instances that hold a lease.
   *
   * @return the change that the view needs, empty if there is none
   */
  public ChangeEntryView viewChange(long nowNanos, EntryView view) {
    Map<String, EntryMember> members = new TreeMap<>();
    view.getMembersList().forEach(member -> members.put(member.getName(), member));
    return ChangeEntryView.newBuilder()
        .addAllPut(
            live(nowNanos)
                .map(EntryState::member)
                .filter(member -> !member.equals(members.get(member.getName())))
                .toList())
        .addAllRemove(members.keySet().stream().filter(name -> !isLive(nowNanos, name)).toList())
        .build();
  }

  /** Returns the names of the live entry instances that have not confirmed a configuration. */
  public List<String> unconfirmed(long nowNanos, long number) {
    Predicate<EntryState> behind = entry -> entry.appliedNumber() < number;
    return live(nowNanos).filter(behind).map(entry -> entry.member().getName()).toList();
  }

  /**
   * Returns the newest configuration that every live entry instance applies.
   *
   * @param newest the newest accepted configuration, which is returned if no instance is live
   */
  public long inForceNumber(long nowNanos, long newest) {
    return live(nowNanos).mapToLong(EntryState::appliedNumber).min().orElse(newest);
  }

  /**
   * Returns the newest view that every live entry instance uses.
   *
   * @param newest the newest view, which is returned if no instance is live
   */
  public long confirmedView(long nowNanos, long newest) {
    return live(nowNanos).mapToLong(EntryState::viewNumber).min().orElse(newest);
  }

  /** Removes the instances whose lease has expired. */
  public void expire(long nowNanos) {
    entries.values().removeIf(entry -> !entry.isLive(nowNanos));
  }

  /** Returns the status of every instance in the registry, in the order of their names. */
  public List<EntryStatus> statuses(long nowNanos) {
    return entries.values().stream().map(entry -> entry.status(nowNanos)).toList();
  }

  private Stream<EntryState> live(long nowNanos) {
    return entries.values().stream().filter(entry -> entry.isLive(nowNanos));
  }

  private boolean isLive(long nowNanos, String name) {
    EntryState entry = entries.get(name);
    return entry != null && entry.isLive(nowNanos);
  }

  private record EntryState(
      EntryMember member, long appliedNumber, long viewNumber, long lastHeartbeatNanos) {
    boolean isLive(long nowNanos) {
      return nowNanos - lastHeartbeatNanos <= LEASE_NANOS;
    }

    EntryStatus status(long nowNanos) {
      return EntryStatus.newBuilder()
          .setName(member.getName())
          .setDataCentre(member.getDataCentre())
          .setAppliedNumber(appliedNumber)
          .setLastHeardMsAgo(TimeUnit.NANOSECONDS.toMillis(nowNanos - lastHeartbeatNanos))
          .build();
    }
  }
}
