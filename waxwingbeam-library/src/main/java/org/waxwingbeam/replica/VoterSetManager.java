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
 * Keeps, at the leader, the number of voters at a wanted size without an operator: learners become
 * voters while there are too few, and take the places of voters that have lost their disk or have
 * not answered for long.
 *
 * <pre>{@code
 * MembershipKeeper keeper = new MembershipKeeper(replica, replacement, 5);
 * keeper.tick(nowNanos, known.all());
 * }</pre>
 *
 * @since 0.1.0
 */
public final class VoterSetManager {
  /** Time without an answer after which a voter's place is given to a learner. */
  private static final long DEAD_NANOS = TimeUnit.SECONDS.toNanos(6);

  private static final long MAX_BEHIND = 100;

  private final Replica replica;
  private final MembershipCoordinator replacement;
  private final int wantedVoters;
  private final Map<String, Long> lastResponseNanos = new HashMap<>();
  private long leadingTerm;

  /**
   * Creates the keeper.
   *
   * @param replica the replica at which it works
   * @param replacement changes the membership
   * @param wantedVoters the number of voters to reach
   */
  public VoterSetManager(Replica replica, MembershipCoordinator replacement, int wantedVoters) {
    this.replica = replica;
    this.replacement = replacement;
    this.wantedVoters = wantedVoters;
  }

  /**
   * Begins one change of the membership, if one is due and none is under way.
   *
   * @param nowNanos the present time
   * @param known what other replicas have said of themselves
   */
  public void tick(long nowNanos, List<ReplicaHello> known) {
    if (replica.role() != ReplicaRole.LEADER) {
      return;
    }
    recordResponses(nowNanos);
    known.forEach(hello -> replacement.addLearnerOrUpdateAddress(hello.getMember(), true));
    Membership membership = replica.membership();
    if (!replica.mayChangeMembership()) {
      return;
    }
    if (removeDoubled(nowNanos, membership)) {
      return;
    }
    membership.getLearnersList().stream()
        .filter(each -> isCaughtUp(nowNanos, each))
        .findFirst()
        .ifPresent(learner -> promote(nowNanos, membership, learner));
  }

  private void recordResponses(long nowNanos) {
    if (leadingTerm != replica.term()) {
      leadingTerm = replica.term();
      lastResponseNanos.clear();
    }
    replica
        .membership()
        .getVotersList()
        .forEach(
            voter -> {
              if (isResponsive(nowNanos, voter)) {
                lastResponseNanos.put(voter.getId(), nowNanos);
              } else {
                lastResponseNanos.putIfAbsent(voter.getId(), nowNanos);
              }
            });
  }

  private boolean isResponsive(long nowNanos, ReplicaMember member) {
    return replica
        .leaderState()
        .filter(each -> each.isResponsive(nowNanos, member.getId()))
        .isPresent();
  }

  private boolean isDead(long nowNanos, ReplicaMember voter) {
    return nowNanos - lastResponseNanos.getOrDefault(voter.getId(), nowNanos) > DEAD_NANOS;
  }

  /** Finishes a replacement that an earlier leader began: two voters have one address. */
  private boolean removeDoubled(long nowNanos, Membership membership) {
    Optional<ReplicaMember> left =
        membership.getVotersList().stream()
            .filter(each -> !each.getId().equals(replica.id()) && !isResponsive(nowNanos, each))
            .filter(
                each ->
                    membership.getVotersCount() > wantedVoters
                        || membership.getVotersList().stream()
                            .anyMatch(other -> isReplacedBy(each, other)))
            .findFirst();
    left.ifPresent(each -> replacement.removeVoter(nowNanos, each.getId()));
    return left.isPresent();
  }

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
    return isResponsive(nowNanos, learner) && replica.lastIndex() - matched <= MAX_BEHIND;
  }

  private void promote(long nowNanos, Membership membership, ReplicaMember learner) {
    Optional<ReplicaMember> replaced =
        membership.getVotersList().stream()
            .filter(each -> isReplacedBy(each, learner) && !isResponsive(nowNanos, each))
            .findFirst();
    if (replaced.isPresent()) {
      replace(nowNanos, replaced.get(), learner);
    } else if (membership.getVotersCount() < wantedVoters) {
      replacement.addVoter(nowNanos, learner.getId());
    } else {
      membership.getVotersList().stream()
          .filter(each -> !each.getId().equals(replica.id()) && isDead(nowNanos, each))
          .findFirst()
          .ifPresent(each -> replace(nowNanos, each, learner));
    }
  }

  private void replace(long nowNanos, ReplicaMember voter, ReplicaMember learner) {
    replacement.replace(nowNanos, voter.getId(), learner.getId(), outcome -> {});
  }
}
