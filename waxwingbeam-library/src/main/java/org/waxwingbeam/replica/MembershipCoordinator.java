package org.waxwingbeam.replica;

import java.util.Optional;
import java.util.function.Consumer;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaMember;

/**
 * Proposes membership changes at the leader: adds learners, promotes them to voters, and replaces
 * or removes voters. Only one change is under way at a time.
 *
 * @since 0.1.0
 */
public final class MembershipCoordinator {
  private final Replica replica;
  private boolean changeRunning;

  /**
   * Creates a coordinator.
   *
   * @param replica the local replica
   */
  public MembershipCoordinator(Replica replica) {
    this.replica = replica;
  }

  /**
   * Proposes to add a replica as a learner, or to update a member's address. Does nothing unless
   * this replica leads and no other change is under way; the caller repeats the call until the
   * membership shows the change.
   *
   * @param member the replica
   * @param mayAddLearner whether it may be added if it is not a member
   */
  public void addLearnerOrUpdateAddress(ReplicaMember member, boolean mayAddLearner) {
    Membership before = replica.membership();
    if (changeRunning || !replica.mayChangeMembership()) {
      return;
    }
    if (!Memberships.isMember(before, member.getId())) {
      if (mayAddLearner) {
        propose(Memberships.withLearner(before, member), outcome -> {});
      }
    } else if (!Memberships.hasAddress(before, member)) {
      propose(Memberships.withAddress(before, member), outcome -> {});
    }
  }

  /**
   * Replaces a voter by a learner that has caught up: promotes the learner, then removes the voter.
   *
   * @param nowNanos the current time
   * @param oldId the voter to remove
   * @param newId the learner, or a voter if an earlier replacement was interrupted
   * @param receiver called once with the outcome
   */
  public void replace(
      long nowNanos, String oldId, String newId, Consumer<ProposalOutcome> receiver) {
    if (replica.role() != ReplicaRole.LEADER) {
      receiver.accept(new ProposalOutcome.NotLeader());
      return;
    }
    Optional<String> refusal = refusal(nowNanos, oldId, newId);
    if (refusal.isPresent()) {
      receiver.accept(new ProposalOutcome.Refused(refusal.get()));
      return;
    }
    changeRunning = true;
    Consumer<ProposalOutcome> finish =
        outcome -> {
          changeRunning = false;
          receiver.accept(outcome);
        };
    if (Memberships.isVoter(replica.membership(), newId)) {
      remove(oldId, finish);
    } else {
      promote(oldId, newId, finish);
    }
  }

  /**
   * Promotes a learner to an additional voter, if the voters that reply would still be a majority.
   *
   * @param nowNanos the current time
   * @param learnerId the learner, which must have caught up
   */
  public void addVoter(long nowNanos, String learnerId) {
    proposeIfSafe(nowNanos, Memberships.promoted(replica.membership(), learnerId));
  }

  /**
   * Removes a voter, if the voters that reply would still be a majority.
   *
   * @param nowNanos the current time
   * @param voterId the voter
   */
  public void removeVoter(long nowNanos, String voterId) {
    proposeIfSafe(nowNanos, Memberships.withoutVoter(replica.membership(), voterId));
  }

  private void proposeIfSafe(long nowNanos, Membership after) {
    long responsive =
        after.getVotersList().stream().filter(each -> isResponsive(nowNanos, each.getId())).count();
    if (changeRunning
        || !replica.mayChangeMembership()
        || responsive < Memberships.majority(after)) {
      return;
    }
    changeRunning = true;
    propose(after, outcome -> changeRunning = false);
  }

  private Optional<String> refusal(long nowNanos, String oldId, String newId) {
    Membership before = replica.membership();
    if (changeRunning || !replica.mayChangeMembership()) {
      return Optional.of("another change of the replicas is under way; expected it to be finished");
    }
    if (!Memberships.isVoter(before, oldId)) {
      return Optional.of("replica '%s': expected a voter".formatted(oldId));
    }
    if (oldId.equals(replica.id())) {
      return Optional.of(
          "replica '%s': expected one that does not lead; stop it first".formatted(oldId));
    }
    if (Memberships.isVoter(before, newId)) {
      return alreadyVoterRefusal(before, newId);
    }
    if (!Memberships.isLearner(before, newId)) {
      return Optional.of("replica '%s': expected a learner".formatted(newId));
    }
    return lagRefusal(nowNanos, newId)
        .or(
            () ->
                Memberships.quorumRefusal(
                    before, oldId, newId, each -> isResponsive(nowNanos, each)));
  }

  private static Optional<String> alreadyVoterRefusal(Membership before, String newId) {
    // A replacement that was interrupted after the promotion leaves an even number of voters.
    boolean interrupted = before.getVotersCount() % 2 == 0;
    return interrupted
        ? Optional.empty()
        : Optional.of("replica '%s': expected a learner; it is a voter".formatted(newId));
  }

  private Optional<String> lagRefusal(long nowNanos, String newId) {
    long matched =
        replica
            .leaderState()
            .flatMap(each -> each.progress(newId))
            .map(ReplicaProgress::matchIndex)
            .orElse(0L);
    return isCaughtUp(nowNanos, newId)
        ? Optional.empty()
        : Optional.of(
            "replica '%s': expected a learner that has caught up; it holds %d of %d entries"
                .formatted(newId, matched, replica.lastIndex()));
  }

  /** Returns whether a replica replies to this leader and lacks few entries of the log. */
  boolean isCaughtUp(long nowNanos, String id) {
    return replica.leaderState().filter(each -> each.isCaughtUp(nowNanos, id)).isPresent();
  }

  private boolean isResponsive(long nowNanos, String id) {
    return replica.leaderState().filter(each -> each.isResponsive(nowNanos, id)).isPresent();
  }

  private void promote(String oldId, String newId, Consumer<ProposalOutcome> finish) {
    propose(
        Memberships.promoted(replica.membership(), newId),
        outcome -> {
          if (outcome instanceof ProposalOutcome.Applied) {
            remove(oldId, finish);
          } else {
            finish.accept(outcome);
          }
        });
  }

  private void remove(String oldId, Consumer<ProposalOutcome> finish) {
    propose(Memberships.withoutVoter(replica.membership(), oldId), finish);
  }

  private void propose(Membership after, Consumer<ProposalOutcome> receiver) {
    replica.propose(Command.newBuilder().setMembership(after).build(), receiver);
  }
}
