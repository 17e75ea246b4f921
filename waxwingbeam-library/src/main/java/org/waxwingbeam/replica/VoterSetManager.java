package org.waxwingbeam.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMember;

/**
 * Brings the number of voters to a configured size without an operator. At the leader, promotes
 * learners while there are too few voters, and lets them replace voters that have lost their disk
 * or have not replied for several seconds.
 *
 * <pre>{@code
 * VoterSetManager manager = new VoterSetManager(replica, coordinator, 5);
 * manager.tick(nowNanos, knownReplicas.all());
 * }</pre>
 *
 * @since 0.1.0
 */
public final class VoterSetManager {
  /** Time without a reply after which a voter is replaced by a learner. */
  private static final long VOTER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(6);

  private final Replica replica;
  private final MembershipCoordinator coordinator;
  private final int wantedVoters;
  private final Map<String, Long> lastReplyNanos = new HashMap<>();
  private long leadingTerm;

  /**
   * Creates a manager that does nothing until the first {@link #tick}.
   *
   * @param replica the local replica
   * @param coordinator proposes the membership changes
   * @param wantedVoters the number of voters to reach
   */
  public VoterSetManager(Replica replica, MembershipCoordinator coordinator, int wantedVoters) {
    this.replica = replica;
    this.coordinator = coordinator;
    this.wantedVoters = wantedVoters;
  }

  /**
   * Proposes one change of the membership, if one is needed and none is under way.
   *
   * @param nowNanos the current time
   * @param hellos the hellos of the other replicas
   */
  public void tick(long nowNanos, List<ReplicaHello> hellos) {
    if (replica.role() != ReplicaRole.LEADER) {
      return;
    }
    recordReplies(nowNanos);
    hellos.forEach(hello -> coordinator.addLearnerOrUpdateAddress(hello.getMember(), true));
    Membership membership = replica.membership();
    if (!replica.mayChangeMembership()) {
      return;
    }
    if (removeLeftoverVoter(nowNanos, membership)) {
      return;
    }
    membership.getLearnersList().stream()
        .filter(each -> isCaughtUp(nowNanos, each))
        .findFirst()
        .ifPresent(learner -> promote(nowNanos, membership, learner));
  }

  private void recordReplies(long nowNanos) {
    if (leadingTerm != replica.term()) {
      leadingTerm = replica.term();
      lastReplyNanos.clear();
    }
    replica
        .membership()
        .getVotersList()
        .forEach(
            voter -> {
              if (isResponsive(nowNanos, voter)) {
                lastReplyNanos.put(voter.getId(), nowNanos);
              } else {
                lastReplyNanos.putIfAbsent(voter.getId(), nowNanos);
              }
            });
  }

  private boolean isResponsive(long nowNanos, ReplicaMember member) {
    return replica
        .leaderState()
        .filter(each -> each.isResponsive(nowNanos, member.getId()))
        .isPresent();
  }

  private boolean hasTimedOut(long nowNanos, ReplicaMember voter) {
    return nowNanos - lastReplyNanos.getOrDefault(voter.getId(), nowNanos) > VOTER_TIMEOUT_NANOS;
  }

  /**
   * Removes a voter that an interrupted replacement has left: it does not reply, and there are too
   * many voters or another voter has its address.
   */
  private boolean removeLeftoverVoter(long nowNanos, Membership membership) {
    Optional<ReplicaMember> leftover =
        membership.getVotersList().stream()
            .filter(each -> !each.getId().equals(replica.id()) && !isResponsive(nowNanos, each))
            .filter(
                each ->
                    membership.getVotersCount() > wantedVoters
                        || membership.getVotersList().stream()
                            .anyMatch(other -> isReplacedBy(each, other)))
            .findFirst();
    leftover.ifPresent(each -> coordinator.removeVoter(nowNanos, each.getId()));
    return leftover.isPresent();
  }

  /** Returns whether another replica has a voter's address, as after the loss of its disk. */
  private static boolean isReplacedBy(ReplicaMember voter, ReplicaMember other) {
    return !other.getId().equals(voter.getId())
        && other.getHost().equals(voter.getHost())
        && other.getPort() == voter.getPort();
  }

  private boolean isCaughtUp(long nowNanos, ReplicaMember learner) {
    long matched =
        replica
            .leaderState()
            .flatMap(each -> each.progress(learner.getId()))
            .map(ReplicaProgress::matchIndex)
            .orElse(0L);
    return isResponsive(nowNanos, learner)
        && replica.lastIndex() - matched <= MembershipCoordinator.MAX_LAG_ENTRIES;
  }

  private void promote(long nowNanos, Membership membership, ReplicaMember learner) {
    Optional<ReplicaMember> replaced =
        membership.getVotersList().stream()
            .filter(each -> isReplacedBy(each, learner) && !isResponsive(nowNanos, each))
            .findFirst();
    if (replaced.isPresent()) {
      replace(nowNanos, replaced.get(), learner);
    } else if (membership.getVotersCount() < wantedVoters) {
      coordinator.addVoter(nowNanos, learner.getId());
    } else {
      membership.getVotersList().stream()
          .filter(each -> !each.getId().equals(replica.id()) && hasTimedOut(nowNanos, each))
          .findFirst()
          .ifPresent(each -> replace(nowNanos, each, learner));
    }
  }

  private void replace(long nowNanos, ReplicaMember voter, ReplicaMember learner) {
    coordinator.replace(nowNanos, voter.getId(), learner.getId(), outcome -> {});
  }
}
