package org.waxwingbeam.replica;

import java.util.Optional;
import java.util.function.Consumer;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;
import org.waxwingbeam.wire.replica.VoteReply;
import org.waxwingbeam.wire.replica.VoteRequest;

/** Requests votes, counts them, and decides on the vote requests of other candidates. */
final class ReplicaElection {
  private final String id;
  private final DurableLog durableLog;
  private final ReplicaLog log;
  private final Consumer<ReplicaMessage.Builder> outgoing;
  private Optional<VoteRound> previousRound = Optional.empty();
  private VoteRound round;
  private Optional<VoteRound> election = Optional.empty();

  ReplicaElection(String id, DurableLog durableLog, Consumer<ReplicaMessage.Builder> outgoing) {
    this.id = id;
    this.durableLog = durableLog;
    log = durableLog.entries();
    this.outgoing = outgoing;
    round = new VoteRound(id, 0, true);
  }

  /**
   * Starts a round of votes by sending a vote request to every other voter.
   *
   * @param newTerm the term that the votes are for
   * @param asPreVote whether the round is a pre-vote, which only asks whether votes would be
   *     granted
   * @return whether this replica's own vote is a majority
   */
  boolean startRound(long newTerm, boolean asPreVote) {
    previousRound = Optional.of(round).filter(each -> each.term() > 0);
    round = new VoteRound(id, newTerm, asPreVote);
    if (!asPreVote) {
      election = Optional.of(round);
    }
    VoteRequest.Builder request =
        VoteRequest.newBuilder()
            .setPreVote(asPreVote)
            .setLastIndex(log.lastIndex())
            .setLastTerm(log.lastTerm());
    log.membership().getVotersList().stream()
        .map(ReplicaMember::getId)
        .filter(voter -> !voter.equals(id))
        .forEach(voter -> outgoing.accept(message(voter, newTerm).setVoteRequest(request)));
    return hasMajority(round);
  }

  /** Ends the campaign: votes that arrive later do not count. */
  void abandon() {
    election = Optional.empty();
  }

  private static ReplicaMessage.Builder message(String to, long term) {
    return ReplicaMessage.newBuilder().setTo(to).setTerm(term);
  }

  /**
   * Returns the current or last round, or the one before it if only that one has replies; empty
   * before the first one.
   */
  Optional<VoteRound> lastRound() {
    return Optional.of(round)
        .filter(VoteRound::hasReplies)
        .or(() -> previousRound.filter(VoteRound::hasReplies))
        .or(() -> Optional.of(round).filter(each -> each.term() > 0));
  }

  /** Records a vote reply if it refuses a vote of the current round. It decides nothing. */
  void recordRefusal(ReplicaMessage message) {
    if (message.hasVoteReply() && Memberships.isVoter(log.membership(), message.getFrom())) {
      round.recordRefusal(message);
    }
  }

  /**
   * Counts a vote reply if it belongs to the current pre-vote, or to the election of the current
   * term. Slow disks and links may bring a vote after the next pre-vote has started.
   *
   * @return whether the reply completes a majority
   */
  boolean countVote(ReplicaMessage message) {
    Optional<VoteRound> counted = roundOf(message).filter(each -> each.isGranted(message));
    counted.ifPresent(each -> each.recordGrant(message.getFrom()));
    return counted.filter(this::hasMajority).isPresent();
  }

  private Optional<VoteRound> roundOf(ReplicaMessage message) {
    long term = durableLog.term();
    return message.getVoteReply().getPreVote()
        ? Optional.of(round).filter(each -> each.isPreVote() && each.term() == term + 1)
        : election.filter(each -> each.term() == term);
  }

  private boolean hasMajority(VoteRound counted) {
    Membership membership = log.membership();
    long votes =
        membership.getVotersList().stream()
            .filter(voter -> counted.hasGrant(voter.getId()))
            .count();
    return votes >= Memberships.majority(membership);
  }

  /** Returns whether this replica grants a candidate its vote, or would grant it in a pre-vote. */
  boolean grants(ReplicaMessage message) {
    boolean voteAvailable =
        durableLog.votedFor().isEmpty() || durableLog.votedFor().equals(message.getFrom());
    boolean termMatches =
        message.getVoteRequest().getPreVote()
            ? message.getTerm() > durableLog.term()
            : message.getTerm() == durableLog.term() && voteAvailable;
    return termMatches && isUpToDate(message.getVoteRequest());
  }

  /** Returns whether a candidate's log is at least as up to date as this replica's log. */
  private boolean isUpToDate(VoteRequest request) {
    return request.getLastTerm() > log.lastTerm()
        || (request.getLastTerm() == log.lastTerm() && request.getLastIndex() >= log.lastIndex());
  }

  /** Returns the reply to a vote request. A rejection carries this replica's own term. */
  ReplicaMessage.Builder reply(ReplicaMessage request, boolean grants) {
    boolean asPreVote = request.getVoteRequest().getPreVote();
    ReplicaMessage.Builder reply =
        ReplicaMessage.newBuilder()
            .setTo(request.getFrom())
            .setVoteReply(VoteReply.newBuilder().setPreVote(asPreVote).setGranted(grants));
    return grants ? reply.setTerm(request.getTerm()) : reply;
  }
}
