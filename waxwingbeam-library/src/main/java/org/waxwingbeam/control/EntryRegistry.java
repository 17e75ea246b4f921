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
 * Tracks, at the leading control replica, which entry instances hold a lease and what they have
 * confirmed.
 *
 * <p>An entry instance counts its lease from when it sent a heartbeat, and the registry from when
 * it received the heartbeat, so that the registry never gives up an instance before the instance
 * itself knows.
 *
 * @since 0.1.0
 */
public final class EntryRegistry {
  /** How long a lease lasts from the heartbeat that asked for it. */
  public static final long LEASE_MS = 2_500;

  /** Allows for clocks that do not run equally fast. */
  private static final long CLOCK_DRIFT_MARGIN_MS = 100;

  private static final long LEASE_NANOS =
      TimeUnit.MILLISECONDS.toNanos(LEASE_MS + CLOCK_DRIFT_MARGIN_MS);

  private final SortedMap<String, Contact> contacts = new TreeMap<>();

  /**
   * Forgets what was heard, because this replica begins to lead. Every instance of the view counts
   * as heard now, for a previous leader may just have renewed its lease.
   *
   * @param nowNanos the present time
   * @param view the view that the log holds
   */
  public void startTerm(long nowNanos, EntryView view) {
    contacts.clear();
    view.getMembersList()
        .forEach(member -> contacts.put(member.getName(), new Contact(member, 0, 0, nowNanos)));
  }

  /**
   * Notes a heartbeat.
   *
   * @param nowNanos when it was received
   * @param member the sender
   * @param appliedNumber the configuration that the sender applies
   * @param viewNumber the view that the sender uses
   */
  public void recordHeartbeat(
      long nowNanos, EntryMember member, long appliedNumber, long viewNumber) {
    contacts.put(member.getName(), new Contact(member, appliedNumber, viewNumber, nowNanos));
  }

  /**
   * Compares the view with the instances that hold a lease.
   *
   * @return what the view must change, with nothing in it if the view is right
   */
  public ChangeEntryView viewChange(long nowNanos, EntryView view) {
    Map<String, EntryMember> members = new TreeMap<>();
    view.getMembersList().forEach(member -> members.put(member.getName(), member));
    return ChangeEntryView.newBuilder()
        .addAllPut(
            live(nowNanos)
                .map(Contact::member)
                .filter(member -> !member.equals(members.get(member.getName())))
                .toList())
        .addAllRemove(members.keySet().stream().filter(name -> !isLive(nowNanos, name)).toList())
        .build();
  }

  /** Returns the live entry instances that have not confirmed a configuration. */
  public List<String> unconfirmed(long nowNanos, long number) {
    Predicate<Contact> behind = contact -> contact.applied() < number;
    return live(nowNanos).filter(behind).map(contact -> contact.member().getName()).toList();
  }

  /**
   * Returns the newest configuration that every live entry instance applies.
   *
   * @param newest the newest configuration of all, which is in force if there is no live instance
   */
  public long inForceNumber(long nowNanos, long newest) {
    return live(nowNanos).mapToLong(Contact::applied).min().orElse(newest);
  }

  /**
   * Returns the newest view that every live entry instance uses.
   *
   * @param newest the newest view of all
   */
  public long confirmedView(long nowNanos, long newest) {
    return live(nowNanos).mapToLong(Contact::view).min().orElse(newest);
  }

  /** Drops instances whose lease has run out. */
  public void expire(long nowNanos) {
    contacts.values().removeIf(contact -> !contact.isLive(nowNanos));
  }

  /** Describes every known instance in the order of names. */
  public List<EntryStatus> statuses(long nowNanos) {
    return contacts.values().stream().map(contact -> contact.status(nowNanos)).toList();
  }

  private Stream<Contact> live(long nowNanos) {
    return contacts.values().stream().filter(contact -> contact.isLive(nowNanos));
  }

  private boolean isLive(long nowNanos, String name) {
    Contact contact = contacts.get(name);
    return contact != null && contact.isLive(nowNanos);
  }

  private record Contact(EntryMember member, long applied, long view, long heardNanos) {
    boolean isLive(long nowNanos) {
      return nowNanos - heardNanos <= LEASE_NANOS;
    }

    EntryStatus status(long nowNanos) {
      return EntryStatus.newBuilder()
          .setName(member.getName())
          .setDataCentre(member.getDataCentre())
          .setAppliedNumber(applied)
          .setLastHeardMsAgo(TimeUnit.NANOSECONDS.toMillis(nowNanos - heardNanos))
          .build();
    }
  }
}
