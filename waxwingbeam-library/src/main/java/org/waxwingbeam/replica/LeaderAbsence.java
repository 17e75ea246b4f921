package org.waxwingbeam.replica;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * What a replica knows of why it knows of no leader.
 *
 * @param standing the replica itself
 * @param lastLeader the last leader it knew
 * @param campaign its attempts to become the leader since then
 * @param voters the voters of the newest membership
 * @param learners the number of learners
 * @param failures what was lost and has failed on its connections
 * @since 0.1.0
 */
public record LeaderAbsence(
    Standing standing,
    LastLeader lastLeader,
    Campaign campaign,
    List<Voter> voters,
    int learners,
    ReplicaLinks.Failures failures) {
  private static final long RECENT_MS =
      TimeUnit.NANOSECONDS.toMillis(ReplicaTimings.QUORUM_TIMEOUT_NANOS);

  /** Copies the list of voters. */
  public LeaderAbsence {
    voters = List.copyOf(voters);
  }

  /** The most likely cause, as far as one replica can tell. */
  public enum Cause {
    /** This replica's disk refuses writes. */
    SUSPENDED,
    /** This replica belongs to no log yet. */
    NO_LOG,
    /** A leader is known, but not its address. */
    LEADER_UNLINKED,
    /** The handling of messages throws exceptions. */
    MESSAGES_FAIL,
    /** Too few of the voters have a connection with this replica. */
    VOTERS_GONE,
    /** The connections are there, but too few of the voters are heard. */
    VOTERS_SILENT,
    /** This replica stores the log and has no vote. */
    NO_VOTE,
    /** This replica starts no election any more. */
    RESIGNED,
    /** No election is due yet. */
    ELECTION_AWAITED,
    /** Voters have refused their votes. */
    VOTES_REFUSED,
    /** Voters are heard, but do not reply to vote requests. */
    VOTES_UNANSWERED
  }

  /**
   * The replica itself.
   *
   * @param role its role
   * @param resigned whether it starts no election any more
   * @param votes whether it is a voter
   * @param term the newest term that it knows
   * @param leader the leader that it knows; empty if there is none
   */
  public record Standing(
      ReplicaRole role, boolean resigned, boolean votes, long term, Optional<String> leader) {}

  /**
   * The last leader that a replica knew.
   *
   * @param id its id; empty if it knew none since the start of the process
   * @param ageMs time since the last contact with it, or since the start, in milliseconds
   */
  public record LastLeader(Optional<String> id, long ageMs) {}

  /**
   * The attempts of a replica to become the leader.
   *
   * @param preVotes the number of pre-votes it has started
   * @param elections the number of elections it has started
   * @param round the last round to which any voter has replied, or the current one
   */
  public record Campaign(long preVotes, long elections, Optional<Round> round) {}

  /**
   * A round of votes.
   *
   * @param term the term that the votes are for
   * @param preVote whether it only asks whether votes would be granted
   */
  public record Round(long term, boolean preVote) {}

  /**
   * A voter as this replica sees it.
   *
   * @param id its id
   * @param host its host
   * @param own whether it is this replica
   * @param link the connections with it
   * @param heardMs time since its last message, in milliseconds; empty if there was none
   * @param granted whether it has granted its vote in the round
   * @param refusingTerm its own term, if it has refused its vote in the round
   */
  public record Voter(
      String id,
      String host,
      boolean own,
      ReplicaLinks.Link link,
      Optional<Long> heardMs,
      boolean granted,
      Optional<Long> refusingTerm) {
    private boolean isLinked() {
      return own || link.isPresent();
    }

    private boolean isHeard() {
      return own || heardMs.filter(each -> each < RECENT_MS).isPresent();
    }
  }

  /** Returns the most likely cause. */
  public Cause cause() {
    int majority = voters.size() / 2 + 1;
    if (standing.role() == ReplicaRole.SUSPENDED) {
      return Cause.SUSPENDED;
    } else if (voters.isEmpty()) {
      return Cause.NO_LOG;
    } else if (standing.leader().isPresent()) {
      return Cause.LEADER_UNLINKED;
    } else if (failures.last().filter(each -> each.ageMs() < RECENT_MS).isPresent()) {
      return Cause.MESSAGES_FAIL;
    } else if (linked() < majority) {
      return Cause.VOTERS_GONE;
    } else if (!standing.votes()) {
      return Cause.NO_VOTE;
    } else if (standing.resigned()) {
      return Cause.RESIGNED;
    } else if (campaign.round().isEmpty() || campaign.preVotes() == 0) {
      return Cause.ELECTION_AWAITED;
    } else if (heard() < majority) {
      return Cause.VOTERS_SILENT;
    }
    return refused() > 0 ? Cause.VOTES_REFUSED : Cause.VOTES_UNANSWERED;
  }

  /** Returns the number of voters with a connection, this replica included if it votes. */
  long linked() {
    return voters.stream().filter(Voter::isLinked).count();
  }

  /** Returns the number of voters heard lately, this replica included if it votes. */
  long heard() {
    return voters.stream().filter(Voter::isHeard).count();
  }

  /** Returns the number of votes granted in the round. */
  long granted() {
    return voters.stream().filter(Voter::granted).count();
  }

  /** Returns the number of votes refused in the round. */
  long refused() {
    return voters.stream().filter(each -> each.refusingTerm().isPresent()).count();
  }
}
