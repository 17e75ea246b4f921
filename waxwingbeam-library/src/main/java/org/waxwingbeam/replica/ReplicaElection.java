package org.waxwingbeam.replica;

import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;
import org.waxwingbeam.wire.replica.VoteReply;
import org.waxwingbeam.wire.replica.VoteRequest;

/** Asks for votes, counts them, and judges the requests of other candidates. */
final class ReplicaElection {
  private final String id;
  private final DurableLog disk;
  private final ReplicaLog log;
  private final Consumer<ReplicaMessage.Builder> outgoing;
  private final Set<String> granted = new TreeSet<>();
  private boolean preVote;
  private long campaignTerm;

  ReplicaElection(String id, DurableLog disk, Consumer<ReplicaMessage.Builder> outgoing) {
    this.id = id;
    this.disk = disk;
    log = disk.entries();
    this.outgoing = outgoing;
  }

  /**
   * Asks every voter.
   *
   * @param newTerm the term that the votes are for
   * @param asPreVote whether to ask only whether votes would be granted
   * @return whether this replica's own vote is enough
   */
  boolean start(long newTerm, boolean asPreVote) {
    preVote = asPreVote;
    campaignTerm = newTerm;
    granted.clear();
    granted.add(id);
    VoteRequest.Builder request =
        VoteRequest.newBuilder()
            .setPreVote(asPreVote)
            .setLastIndex(log.lastIndex())
            .setLastTerm(log.lastTerm());
    log.membership().getVotersList().stream()
        .map(ReplicaMember::getId)
        .filter(voter -> !voter.equals(id))
        .forEach(voter -> outgoing.accept(message(voter, newTerm).setVoteRequest(request)));
    return isWon();
  }

  private static ReplicaMessage.Builder message(String to, long term) {
    return ReplicaMessage.newBuilder().setTo(to).setTerm(term);
  }

  /** Returns whether the votes being counted are pre-votes. */
  boolean isPreVote() {
    return preVote;
  }

  /**
   * Counts a reply.
   *
   * @return whether the votes are now enough
   */
  boolean countVote(ReplicaMessage message) {
    long term = disk.term();
    VoteReply reply = message.getVoteReply();
    boolean counts =
        reply.getGranted()
            && reply.getPreVote() == preVote
            && message.getTerm() == campaignTerm
            && (preVote ? campaignTerm == term + 1 : campaignTerm == term);
    if (counts) {
      granted.add(message.getFrom());
    }
    return counts && isWon();
  }

  private boolean isWon() {
    Membership membership = log.membership();
    long votes =
        membership.getVotersList().stream()
            .filter(voter -> granted.contains(voter.getId()))
            .count();
    return votes >= Memberships.majority(membership);
  }

  /** Returns whether a candidate may get this replica's vote, or would get it. */
  boolean grants(ReplicaMessage message) {
    boolean free = disk.votedFor().isEmpty() || disk.votedFor().equals(message.getFrom());
    boolean rightTerm =
        message.getVoteRequest().getPreVote()
            ? message.getTerm() > disk.term()
            : message.getTerm() == disk.term() && free;
    return rightTerm && isUpToDate(message.getVoteRequest());
  }

  /** Returns whether a candidate's log holds at least what this replica's log holds. */
  private boolean isUpToDate(VoteRequest request) {
    return request.getLastTerm() > log.lastTerm()
        || (request.getLastTerm() == log.lastTerm() && request.getLastIndex() >= log.lastIndex());
  }

  /** Returns the reply to a request for a vote. A refusal carries this replica's own term. */
  ReplicaMessage.Builder reply(ReplicaMessage request, boolean grants) {
    boolean asPreVote = request.getVoteRequest().getPreVote();
    ReplicaMessage.Builder reply =
        ReplicaMessage.newBuilder()
            .setTo(request.getFrom())
            .setVoteReply(VoteReply.newBuilder().setPreVote(asPreVote).setGranted(grants));
    return grants ? reply.setTerm(request.getTerm()) : reply;
  }
}
