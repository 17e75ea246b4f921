package org.waxwingbeam.replica;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.waxwingbeam.wire.replica.ReplicaMessage;
import org.waxwingbeam.wire.replica.VoteReply;

/** The replies to the vote requests of one round. */
final class VoteRound {
  private final String id;
  private final long term;
  private final boolean preVote;
  private final Set<String> granting = new TreeSet<>();
  private final Map<String, Long> refusingTerms = new TreeMap<>();

  /** Starts a round for a term, with the candidate's own vote. */
  VoteRound(String id, long term, boolean preVote) {
    this.id = id;
    this.term = term;
    this.preVote = preVote;
    granting.add(id);
  }

  long term() {
    return term;
  }

  boolean isPreVote() {
    return preVote;
  }

  /** Returns whether a reply grants a vote of this round. */
  boolean isGranted(ReplicaMessage message) {
    VoteReply reply = message.getVoteReply();
    return reply.getGranted() && reply.getPreVote() == preVote && message.getTerm() == term;
  }

  void recordGrant(String voter) {
    granting.add(voter);
    refusingTerms.remove(voter);
  }

  /**
   * Records a refusal. It carries the voter's own term and not that of the round, so that one of an
   * earlier round of the same kind is counted as well.
   */
  void recordRefusal(ReplicaMessage message) {
    VoteReply reply = message.getVoteReply();
    if (!reply.getGranted()
        && reply.getPreVote() == preVote
        && !granting.contains(message.getFrom())) {
      refusingTerms.put(message.getFrom(), message.getTerm());
    }
  }

  boolean hasGrant(String voter) {
    return granting.contains(voter);
  }

  /** Returns the terms of the voters that have refused, by their ids. */
  Map<String, Long> refusingTerms() {
    return refusingTerms;
  }

  /** Returns whether another voter has replied. */
  boolean hasReplies() {
    return granting.stream().anyMatch(each -> !each.equals(id)) || !refusingTerms.isEmpty();
  }
}
