package org.waxwingbeam.target.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Selects the targets of a service that one entry instance of a large fleet uses, so that the
 * number of connections and status checks does not grow with the product of entry instances and
 * targets. Rendezvous hashing spreads the subsets evenly over the targets, and a target that joins
 * or leaves changes few of them.
 */
final class TargetSubset {
  /** Targets that suffice to find an idle one at any load at which there is one. */
  private static final int MIN_SIZE = 8;

  /** Entry instances that use each target on average, in its own data centre. */
  private static final int MIN_COVERAGE = 8;

  /** Factor above the average number of senders that practically no target exceeds. */
  private static final int COVERAGE_MARGIN = 2;

  private final Set<String> local;
  private final Set<String> remote;
  private final int maxLocalSenders;
  private final int maxSenders;

  private TargetSubset(Set<String> local, Set<String> remote, int maxLocalSenders, int maxSenders) {
    this.local = local;
    this.remote = remote;
    this.maxLocalSenders = maxLocalSenders;
    this.maxSenders = maxSenders;
  }

  /**
   * A target that may be selected.
   *
   * @param id the identity of the target
   * @param dataCentre the data centre of the target
   */
  record Member(String id, String dataCentre) {}

  /**
   * Selects the subset of an entry instance.
   *
   * @param members all targets of the service
   * @param entry the name of the entry instance
   * @param dataCentre the data centre of the entry instance
   * @param fleetSize number of entry instances in all data centres
   */
  static TargetSubset of(
      Collection<Member> members, String entry, String dataCentre, int fleetSize) {
    Predicate<Member> isLocal = each -> each.dataCentre().equals(dataCentre);
    List<Member> local = members.stream().filter(isLocal).toList();
    List<Member> remote = members.stream().filter(isLocal.negate()).toList();
    long dataCentres = Math.max(1, members.stream().map(Member::dataCentre).distinct().count());
    double localEntries = Math.max(1, (double) fleetSize / dataCentres);
    int localSize = size(local.size(), localEntries);
    int remoteSize = size(remote.size(), fleetSize);
    double localSenders = localEntries * localSize / Math.max(1, local.size());
    double remoteSenders = (fleetSize - localEntries) * remoteSize / Math.max(1, remote.size());
    return new TargetSubset(
        first(local, entry, localSize),
        first(remote, entry, remoteSize),
        upperBound(localSenders, fleetSize),
        upperBound(localSenders + remoteSenders, fleetSize));
  }

  private static int upperBound(double average, int fleetSize) {
    return (int) Math.ceil(Math.min(fleetSize, COVERAGE_MARGIN * average));
  }

  private static int size(int targets, double entries) {
    return (int) Math.max(MIN_SIZE, Math.ceil(MIN_COVERAGE * targets / entries));
  }

  private static Set<String> first(List<Member> members, String entry, int size) {
    return members.stream()
        .map(Member::id)
        .sorted(Comparator.comparingLong(each -> weight(entry, each)))
        .limit(size)
        .collect(Collectors.toUnmodifiableSet());
  }

  // The finalizer of SplitMix64; String.hashCode alone differs little between similar names.
  private static long weight(String entry, String target) {
    long mixed = entry.hashCode() * 0x9E3779B97F4A7C15L ^ target.hashCode();
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }

  /** Returns whether the subset contains a target. */
  boolean contains(String id) {
    return local.contains(id) || remote.contains(id);
  }

  /** Returns whether the subset contains a target of the entry instance's own data centre. */
  boolean containsLocally(String id) {
    return local.contains(id);
  }

  /** Returns an upper bound of the entry instances that have a target in their local subset. */
  int maxLocalSenders() {
    return maxLocalSenders;
  }

  /** Returns an upper bound of the entry instances that have a target in their subset. */
  int maxSenders() {
    return maxSenders;
  }
}
