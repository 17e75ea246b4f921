package org.waxwingbeam.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaMember;

/** Computes memberships that differ from another one by a single replica. */
final class Memberships {
  private Memberships() {}

  static boolean isVoter(Membership membership, String id) {
    return contains(membership.getVotersList(), id);
  }

  static boolean isLearner(Membership membership, String id) {
    return contains(membership.getLearnersList(), id);
  }

  static boolean isMember(Membership membership, String id) {
    return isVoter(membership, id) || isLearner(membership, id);
  }

  private static boolean contains(List<ReplicaMember> members, String id) {
    return members.stream().anyMatch(member -> member.getId().equals(id));
  }

  static int majority(Membership membership) {
    return membership.getVotersCount() / 2 + 1;
  }

  /** Adds a learner in place of any learner at the same address. */
  static Membership withLearner(Membership before, ReplicaMember learner) {
    List<ReplicaMember> learners =
        new ArrayList<>(
            without(
                before.getLearnersList(),
                member ->
                    member.getId().equals(learner.getId()) || isSameAddress(member, learner)));
    learners.add(learner);
    return before.toBuilder().clearLearners().addAllLearners(learners).build();
  }

  /** Returns whether a member is known at its address. */
  static boolean hasAddress(Membership membership, ReplicaMember member) {
    return membership.getVotersList().contains(member)
        || membership.getLearnersList().contains(member);
  }

  /** Gives a member its new address. */
  static Membership withAddress(Membership before, ReplicaMember member) {
    UnaryOperator<ReplicaMember> moved =
        each -> each.getId().equals(member.getId()) ? member : each;
    return Membership.newBuilder()
        .addAllVoters(before.getVotersList().stream().map(moved).toList())
        .addAllLearners(before.getLearnersList().stream().map(moved).toList())
        .build();
  }

  private static boolean isSameAddress(ReplicaMember one, ReplicaMember other) {
    return one.getHost().equals(other.getHost()) && one.getPort() == other.getPort();
  }

  /** Turns a learner into a voter. */
  static Membership promoted(Membership before, String id) {
    Predicate<ReplicaMember> isPromoted = member -> member.getId().equals(id);
    return before.toBuilder()
        .clearLearners()
        .addAllLearners(without(before.getLearnersList(), isPromoted))
        .addAllVoters(before.getLearnersList().stream().filter(isPromoted).toList())
        .build();
  }

  /** Removes a voter. */
  static Membership withoutVoter(Membership before, String id) {
    return before.toBuilder()
        .clearVoters()
        .addAllVoters(without(before.getVotersList(), member -> member.getId().equals(id)))
        .build();
  }

  private static List<ReplicaMember> without(
      List<ReplicaMember> members, Predicate<ReplicaMember> removed) {
    return members.stream().filter(removed.negate()).toList();
  }

  /**
   * Returns why a replacement would leave too few answering voters, if it would. While both
   * replicas vote, the answering ones must form a majority; after it, they must be able to lose one
   * more.
   *
   * @param before the membership before
   * @param oldId the voter that leaves
   * @param newId the learner that takes its place
   * @param answers tells whether a replica answers the leader
   */
  static Optional<String> marginRefusal(
      Membership before, String oldId, String newId, Predicate<String> answers) {
    Membership during = promoted(before, newId);
    Membership after = withoutVoter(during, oldId);
    long duringAnswering = responsiveVoters(during, answers);
    long afterAnswering = responsiveVoters(after, answers);
    if (duringAnswering < majority(during)) {
      return Optional.of(
          "%d of %d voters would answer: expected at least %d"
              .formatted(duringAnswering, during.getVotersCount(), majority(during)));
    }
    if (after.getVotersCount() > 1 && afterAnswering - 1 < majority(after)) {
      return Optional.of(
          "%d of %d voters would answer and none could be lost: expected at least %d"
              .formatted(afterAnswering, after.getVotersCount(), majority(after) + 1));
    }
    return Optional.empty();
  }

  private static long responsiveVoters(Membership membership, Predicate<String> answers) {
    return membership.getVotersList().stream().map(ReplicaMember::getId).filter(answers).count();
  }
}
