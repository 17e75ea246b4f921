package org.waxwingbeam.replica;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaMember;

/**
 * Tracks what a replica has seen since it last had a leader. Unlike {@link LastContacts}, it counts
 * only messages that this replica itself has received.
 */
final class LeaderSearch {
  private final Map<String, Long> heardNanosById = new TreeMap<>();
  private Optional<String> lastLeader = Optional.empty();
  private long lastLeaderNanos;
  private long preVotes;
  private long elections;
  private long totalElections;

  LeaderSearch(long nowNanos) {
    lastLeaderNanos = nowNanos;
  }

  /** Records a message of another replica, if it is a member. */
  void recordMessage(long nowNanos, String from, Membership membership) {
    if (!Memberships.isMember(membership, from)) {
      return;
    }
    heardNanosById.put(from, nowNanos);
    if (heardNanosById.size() > membership.getVotersCount() + membership.getLearnersCount()) {
      heardNanosById.keySet().removeIf(each -> !Memberships.isMember(membership, each));
    }
  }

  /** Records that a replica leads. */
  void recordLeader(long nowNanos, String leader) {
    lastLeader = Optional.of(leader);
    lastLeaderNanos = nowNanos;
    preVotes = 0;
    elections = 0;
  }

  void recordPreVote() {
    preVotes++;
  }

  void recordElection() {
    elections++;
    totalElections++;
  }

  /** Returns the number of elections that were started since the start of the process. */
  long totalElections() {
    return totalElections;
  }

  LeaderAbsence.LastLeader lastLeader(long nowNanos) {
    return new LeaderAbsence.LastLeader(lastLeader, milliseconds(nowNanos - lastLeaderNanos));
  }

  LeaderAbsence.Campaign campaign(Optional<VoteRound> round) {
    return new LeaderAbsence.Campaign(
        preVotes,
        elections,
        round.map(each -> new LeaderAbsence.Round(each.term(), each.isPreVote())));
  }

  LeaderAbsence.Voter voter(
      long nowNanos,
      ReplicaMember member,
      boolean own,
      Optional<VoteRound> round,
      ReplicaLinks links) {
    String id = member.getId();
    Optional<Long> heardMs =
        Optional.ofNullable(heardNanosById.get(id)).map(each -> milliseconds(nowNanos - each));
    return new LeaderAbsence.Voter(
        id,
        member.getHost(),
        own,
        own ? ReplicaLinks.Link.NONE : links.link(member),
        heardMs,
        round.filter(each -> each.hasGrant(id)).isPresent(),
        round.flatMap(each -> Optional.ofNullable(each.refusingTerms().get(id))));
  }

  private static long milliseconds(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
