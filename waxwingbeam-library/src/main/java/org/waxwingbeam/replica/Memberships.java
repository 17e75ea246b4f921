package org.waxwingbeam.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaMember;

/**
 * Queries memberships and derives changed ones. A derived membership differs from the given one in
 * at most one voter.
 */
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

  /**
   * Returns a membership with a learner added, which replaces any learner with its id or address.
   */
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

  /** Returns whether a membership holds a replica with its present address. */
  static boolean hasAddress(Membership membership, ReplicaMember member) {
    return membership.getVotersList().contains(member)
        || membership.getLearnersList().contains(member);
  }

  /** Returns a membership in which a member has its new address. */
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

  /** Returns a membership in which a learner is a voter. */
  static Membership promoted(Membership before, String id) {
    Predicate<ReplicaMember> isPromoted = member -> member.getId().equals(id);
    return before.toBuilder()
        .clearLearners()
        .addAllLearners(without(before.getLearnersList(), isPromoted))
        .addAllVoters(before.getLearnersList().stream().filter(isPromoted).toList())
        .build();
  }

  /** Returns a membership without a voter. */
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
   * Returns why a replacement must be refused because too few voters would reply, if so. While both
   * replicas vote, the voters that reply must be a majority; afterwards, they must still be one if
   * one more of them fails.
   *
   * @param before the membership before the replacement
   * @param oldId the voter to remove
   * @param newId the learner to promote
   * @param isResponsive returns whether a replica replies to the leader
   */
  static Optional<String> quorumRefusal(
      Membership before, String oldId, String newId, Predicate<String> isResponsive) {
    Membership during = promoted(before, newId);
    Membership after = withoutVoter(during, oldId);
    long responsiveDuring = responsiveVoters(during, isResponsive);
    long responsiveAfter = responsiveVoters(after, isResponsive);
    if (responsiveDuring < majority(during)) {
      return Optional.of(
          "%d of %d voters would answer: expected at least %d"
              .formatted(responsiveDuring, during.getVotersCount(), majority(during)));
    }
    if (after.getVotersCount() > 1 && responsiveAfter - 1 < majority(after)) {
      return Optional.of(
          "%d of %d voters would answer and none could be lost: expected at least %d"
              .formatted(responsiveAfter, after.getVotersCount(), majority(after) + 1));
    }
    return Optional.empty();
  }

  private static long responsiveVoters(Membership membership, Predicate<String> isResponsive) {
    return membership.getVotersList().stream()
        .map(ReplicaMember::getId)
        .filter(isResponsive)
        .count();
  }
}
