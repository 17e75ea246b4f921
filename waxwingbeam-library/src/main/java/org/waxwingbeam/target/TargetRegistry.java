package org.waxwingbeam.target;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.TargetAnnouncement.State;

/**
 * Registry of the announced targets of every service.
 *
 * <p>An announcement is valid for its time to live. One with a lower boot id never replaces one
 * with a higher boot id, and a target that has begun to drain stays draining until its next start.
 *
 * <p>Lists of targets are read without a lock. Changes acquire the registry's lock; no other lock
 * is acquired while it is held.
 *
 * <pre>{@code
 * TargetRegistry registry = new TargetRegistry();
 * registry.announce(now, announcement);
 * List<TargetAnnouncement> targets = registry.targets(service);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class TargetRegistry {
  /** Time for which the boot id of a removed target is kept. */
  private static final long BOOT_ID_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

  private final Map<TargetId, Entry> entries = new HashMap<>();
  private final Map<ServiceName, SortedMap<TargetId, TargetAnnouncement>> live = new HashMap<>();
  private final Map<ServiceName, List<TargetAnnouncement>> byService = new ConcurrentHashMap<>();

  /**
   * Registers or renews a target that announces itself to this entry instance.
   *
   * @param nowNanos the entry's monotonic clock
   * @param announcement the announcement of the target
   * @return whether the announcement was new, known or outdated
   */
  public synchronized AnnounceResult announce(long nowNanos, TargetAnnouncement announcement) {
    Entry known = entries.get(announcement.target());
    if (known != null && announcement.bootId() < known.announcement.bootId()) {
      return new AnnounceResult.Outdated(known.announcement.bootId());
    }
    TargetAnnouncement effective = keepDraining(known, announcement);
    long expiryNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(announcement.timeToLiveMs());
    entries.put(effective.target(), new Entry(effective, expiryNanos, true, Optional.empty()));
    if (known != null && known.live && known.announcement.equals(effective)) {
      return new AnnounceResult.Renewed();
    }
    if (known != null && !known.announcement.service().equals(effective.service())) {
      withdrawFromService(known.announcement);
    }
    add(effective);
    return new AnnounceResult.Changed(effective);
  }

  /**
   * Registers a target that announces itself to another entry instance, its voucher. The
   * announcement is valid until it is withdrawn; if the voucher departs, it {@linkplain
   * #expireDepartedPeers expires} after its time to live.
   *
   * @param nowNanos the entry's monotonic clock
   * @param announcement the announcement of the target
   * @param voucher the entry instance to which the target announces itself
   */
  public synchronized void announceFromPeer(
      long nowNanos, TargetAnnouncement announcement, InstanceName voucher) {
    Entry known = entries.get(announcement.target());
    if (known != null && announcement.bootId() < known.announcement.bootId()) {
      return;
    }
    TargetAnnouncement effective = keepDraining(known, announcement);
    Entry registered =
        known != null && isAnnouncedHere(nowNanos, announcement)
            ? new Entry(effective, known.expiryNanos, true, Optional.empty())
            : new Entry(effective, nowNanos, true, Optional.of(voucher));
    entries.put(effective.target(), registered);
    if (known != null && !known.announcement.service().equals(effective.service())) {
      withdrawFromService(known.announcement);
    }
    add(effective);
  }

  /**
   * Returns whether the same start of a target currently announces itself to this entry instance.
   */
  public synchronized boolean isAnnouncedHere(long nowNanos, TargetAnnouncement announcement) {
    Entry known = entries.get(announcement.target());
    return known != null
        && known.live
        && known.voucher.isEmpty()
        && known.announcement.bootId() == announcement.bootId()
        && nowNanos - known.expiryNanos < 0;
  }

  /**
   * Removes a target that its voucher has withdrawn. Does nothing if a later start of the target is
   * known.
   */
  public synchronized void withdraw(TargetAnnouncement announcement) {
    Entry known = entries.get(announcement.target());
    if (known != null && known.live && known.announcement.bootId() <= announcement.bootId()) {
      remove(known.announcement);
    }
  }

  /**
   * Starts the time to live of the announcements whose vouchers, the entry instances that received
   * them, are no longer live. They expire unless the targets announce themselves again.
   *
   * @param nowNanos the entry's monotonic clock
   * @param liveEntries the live entry instances
   */
  public synchronized void expireDepartedPeers(long nowNanos, Set<InstanceName> liveEntries) {
    entries.replaceAll(
        (target, entry) ->
            entry.voucher.filter(each -> !liveEntries.contains(each)).isPresent()
                ? entry.expiringFrom(nowNanos)
                : entry);
  }

  /**
   * Marks a target as draining after it refused a request for that reason. Does nothing if the
   * target has been restarted since.
   *
   * @param target the target
   * @param bootId boot id of the start that is draining
   */
  public synchronized void markDraining(TargetId target, long bootId) {
    Entry known = entries.get(target);
    if (known == null || !known.live || known.announcement.bootId() != bootId) {
      return;
    }
    TargetAnnouncement draining = known.announcement.withState(State.DRAINING);
    entries.put(target, new Entry(draining, known.expiryNanos, true, known.voucher));
    live.get(draining.service()).put(target, draining);
    publish(draining.service());
  }

  /**
   * Removes the targets whose announcements have expired.
   *
   * @param nowNanos the entry's monotonic clock
   * @return the removed targets, in the order of their addresses
   */
  public synchronized List<TargetAnnouncement> expire(long nowNanos) {
    entries
        .values()
        .removeIf(each -> !each.live && nowNanos - each.expiryNanos > BOOT_ID_RETENTION_NANOS);
    List<TargetAnnouncement> expired =
        entries.values().stream()
            .filter(each -> each.live && each.voucher.isEmpty() && nowNanos - each.expiryNanos >= 0)
            .map(Entry::announcement)
            .sorted(Comparator.comparing(TargetAnnouncement::target))
            .toList();
    expired.forEach(this::remove);
    return expired;
  }

  /**
   * Returns the targets of a service in the order of their addresses. The list is the same object
   * until one of them changes.
   */
  public List<TargetAnnouncement> targets(ServiceName service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns the services that have a target, in the order of their names. */
  public List<ServiceName> services() {
    return byService.keySet().stream().sorted().toList();
  }

  /** Returns the target with an address. */
  public synchronized Optional<TargetAnnouncement> find(TargetId target) {
    return Optional.ofNullable(entries.get(target)).filter(Entry::live).map(Entry::announcement);
  }

  private static TargetAnnouncement keepDraining(Entry known, TargetAnnouncement announcement) {
    boolean draining =
        known != null
            && known.announcement.bootId() == announcement.bootId()
            && known.announcement.state() == State.DRAINING;
    return draining ? announcement.withState(State.DRAINING) : announcement;
  }

  private void remove(TargetAnnouncement removed) {
    entries.computeIfPresent(
        removed.target(),
        (target, entry) -> new Entry(removed, entry.expiryNanos, false, Optional.empty()));
    withdrawFromService(removed);
  }

  private void add(TargetAnnouncement effective) {
    live.computeIfAbsent(effective.service(), name -> new TreeMap<>())
        .put(effective.target(), effective);
    publish(effective.service());
  }

  private void withdrawFromService(TargetAnnouncement removed) {
    SortedMap<TargetId, TargetAnnouncement> targets = live.get(removed.service());
    if (targets != null) {
      targets.remove(removed.target());
      publish(removed.service());
    }
  }

  private void publish(ServiceName service) {
    SortedMap<TargetId, TargetAnnouncement> targets = live.get(service);
    if (targets.isEmpty()) {
      live.remove(service);
      byService.remove(service);
    } else {
      byService.put(service, List.copyOf(targets.values()));
    }
  }

  /**
   * Result of an announcement.
   *
   * @since 0.1.0
   */
  public sealed interface AnnounceResult {
    /**
     * The target is new, or its announcement has changed.
     *
     * @param effective the announcement in effect, in which a draining target stays draining
     */
    record Changed(TargetAnnouncement effective) implements AnnounceResult {}

    /** The announcement repeats the known one. */
    record Renewed() implements AnnounceResult {}

    /**
     * The announcement comes from an earlier start of the target than the known one.
     *
     * @param knownBootId the known boot id
     */
    record Outdated(long knownBootId) implements AnnounceResult {}
  }

  /** Latest announcement of a target; not live if it has expired or was withdrawn. */
  private record Entry(
      TargetAnnouncement announcement,
      long expiryNanos,
      boolean live,
      Optional<InstanceName> voucher) {
    Entry expiringFrom(long nowNanos) {
      long timeToLiveNanos = TimeUnit.MILLISECONDS.toNanos(announcement.timeToLiveMs());
      return new Entry(announcement, nowNanos + timeToLiveNanos, live, Optional.empty());
    }
  }
}
