package org.waxwingbeam.replica;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMember;

/**
 * Brings the number of voters to a configured size without an operator. At the leader, promotes
 * learners while there are too few voters, and lets them replace voters that have lost their disk,
 * are leaving or do not reply.
 *
 * <p>A learner that has joined lately is taken for the successor of a voter that is gone, and
 * replaces a silent voter after a short time. Other learners are spares: they replace one only
 * after a longer silence, so that a voter that stands still for some seconds keeps its place.
 *
 * <pre>{@code
 * VoterSetManager manager = new VoterSetManager(replica, coordinator, 5, catchUpNanos);
 * manager.tick(nowNanos, knownReplicas.all(), connections::isLinked);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class VoterSetManager {
  private static final EventLog LOG = new EventLog(VoterSetManager.class);
  private static final long NANOS_PER_MS = 1_000_000;

  private final Replica replica;
  private final MembershipCoordinator coordinator;
  private final int wantedVoters;
  private final Timeouts timeouts;
  private final Map<String, Long> firstSeenNanos = new HashMap<>();

  /**
   * Silences after which voters are replaced.
   *
   * @param successorNanos silence after which a successor replaces a voter
   * @param spareNanos silence after which any other learner replaces a voter
   * @param joinNanos time from its first hello during which a learner counts as a successor
   */
  private record Timeouts(long successorNanos, long spareNanos, long joinNanos) {
    /** Leaves half of the time for the start of the successor and the election of a leader. */
    static Timeouts of(long catchUpNanos) {
      return new Timeouts(
          Math.max(ReplicaTimings.QUORUM_TIMEOUT_NANOS, catchUpNanos / 2),
          Math.max(ReplicaTimings.QUORUM_TIMEOUT_NANOS, 2 * catchUpNanos),
          2 * catchUpNanos);
    }
  }

  /**
   * Creates a manager that does nothing until the first {@link #tick}.
   *
   * @param replica the local replica
   * @param coordinator proposes the membership changes
   * @param wantedVoters the number of voters to reach
   * @param catchUpNanos time from the start of a successor within which it must have replaced a
   *     voter that is gone
   */
  public VoterSetManager(
      Replica replica, MembershipCoordinator coordinator, int wantedVoters, long catchUpNanos) {
    this.replica = replica;
    this.coordinator = coordinator;
    this.wantedVoters = wantedVoters;
    timeouts = Timeouts.of(catchUpNanos);
  }

  /**
   * Proposes one change of the membership, if this replica leads, one is needed and none is under
   * way. Must also be called while it does not lead, so that it knows when other replicas joined.
   *
   * @param nowNanos the current time
   * @param hellos the newest hellos of the other replicas
   * @param isLinked returns whether there is a connection with the replica that has an id
   */
  public void tick(long nowNanos, List<ReplicaHello> hellos, Predicate<String> isLinked) {
    hellos.forEach(each -> firstSeenNanos.putIfAbsent(each.getMember().getId(), nowNanos));
    if (replica.role() != ReplicaRole.LEADER) {
      return;
    }
    hellos.forEach(
        each ->
            coordinator.addLearnerOrUpdateAddress(
                each.getMember(), isLinked.test(each.getMember().getId())));
    if (!replica.mayChangeMembership()) {
      return;
    }
    Set<String> leaving =
        hellos.stream()
            .filter(ReplicaHello::getLeaving)
            .map(each -> each.getMember().getId())
            .collect(Collectors.toSet());
    Membership membership = replica.membership();
    if (removeLeftoverVoter(nowNanos, membership, leaving)) {
      return;
    }
    membership.getLearnersList().stream()
        .filter(each -> !leaving.contains(each.getId()))
        .filter(each -> coordinator.isCaughtUp(nowNanos, each.getId()))
        .max(Comparator.comparingLong(each -> joinedNanos(nowNanos, each)))
        .ifPresent(learner -> promote(nowNanos, membership, learner, leaving));
  }

  private long joinedNanos(long nowNanos, ReplicaMember learner) {
    return firstSeenNanos.getOrDefault(learner.getId(), nowNanos);
  }

  private boolean isResponsive(long nowNanos, ReplicaMember member) {
    return replica
        .leaderState()
        .filter(each -> each.isResponsive(nowNanos, member.getId()))
        .isPresent();
  }

  /** Returns for how long a voter has been silent, or 0 until this leader can tell. */
  private long silenceNanos(long nowNanos, ReplicaMember voter) {
    return replica
        .leaderState()
        .filter(each -> each.hasHeardAllRunning(nowNanos))
        .map(each -> each.silenceNanos(nowNanos, voter.getId()))
        .orElse(0L);
  }

  /** Returns the voter that has been silent for longest of those that match a condition. */
  private Optional<ReplicaMember> longestSilent(
      long nowNanos, Membership membership, Predicate<ReplicaMember> condition) {
    return membership.getVotersList().stream()
        .filter(each -> !each.getId().equals(replica.id()))
        .filter(condition)
        .max(Comparator.comparingLong(each -> silenceNanos(nowNanos, each)));
  }

  /**
   * Removes a voter that an interrupted replacement has left: it does not reply or is leaving, and
   * there are too many voters or another voter has its address.
   */
  private boolean removeLeftoverVoter(long nowNanos, Membership membership, Set<String> leaving) {
    boolean tooMany = membership.getVotersCount() > wantedVoters;
    Optional<ReplicaMember> leftover =
        longestSilent(
            nowNanos,
            membership,
            each ->
                (tooMany && leaving.contains(each.getId()))
                    || (silenceNanos(nowNanos, each) >= ReplicaTimings.QUORUM_TIMEOUT_NANOS
                        && (tooMany || hasSuccessorAtItsAddress(membership, each))));
    leftover.ifPresent(each -> coordinator.removeVoter(nowNanos, each.getId()));
    return leftover.isPresent();
  }

  private static boolean hasSuccessorAtItsAddress(Membership membership, ReplicaMember voter) {
    return membership.getVotersList().stream().anyMatch(other -> isReplacedBy(voter, other));
  }

  /** Returns whether another replica has a voter's address, as after the loss of its disk. */
  private static boolean isReplacedBy(ReplicaMember voter, ReplicaMember other) {
    return !other.getId().equals(voter.getId())
        && other.getHost().equals(voter.getHost())
        && other.getPort() == voter.getPort();
  }

  private void promote(
      long nowNanos, Membership membership, ReplicaMember learner, Set<String> leaving) {
    if (membership.getVotersCount() < wantedVoters) {
      coordinator.addVoter(nowNanos, learner.getId());
      return;
    }
    long timeout = silenceTimeoutNanos(nowNanos, learner);
    longestSilent(
            nowNanos,
            membership,
            each -> isReplacedBy(each, learner) && !isResponsive(nowNanos, each))
        .or(
            () ->
                longestSilent(
                    nowNanos,
                    membership,
                    each ->
                        leaving.contains(each.getId()) || silenceNanos(nowNanos, each) >= timeout))
        .ifPresent(each -> replace(nowNanos, each, learner));
  }

  private long silenceTimeoutNanos(long nowNanos, ReplicaMember learner) {
    boolean isSuccessor = nowNanos - joinedNanos(nowNanos, learner) < timeouts.joinNanos();
    return isSuccessor ? timeouts.successorNanos() : timeouts.spareNanos();
  }

  /**
   * Replaces a voter. One that replies is removed only once the learner votes. One that is gone is
   * removed first: as an additional voter, the learner would have to stay for there to be a
   * majority, and nothing is lost by having one voter less that is gone.
   */
  private void replace(long nowNanos, ReplicaMember voter, ReplicaMember learner) {
    if (!isResponsive(nowNanos, voter)) {
      LOG.info("voter-gone", "voter", voter.getId(), "learner", learner.getId());
      coordinator.removeVoter(nowNanos, voter.getId());
      return;
    }
    long silentMs = silenceNanos(nowNanos, voter) / NANOS_PER_MS;
    long joinedMsAgo = (nowNanos - joinedNanos(nowNanos, learner)) / NANOS_PER_MS;
    coordinator.replace(
        nowNanos,
        voter.getId(),
        learner.getId(),
        outcome -> {
          if (!(outcome instanceof ProposalOutcome.Refused)) {
            LOG.info(
                "voter-replaced",
                "voter",
                voter.getId(),
                "silent_ms",
                silentMs,
                "learner",
                learner.getId(),
                "joined_ms_ago",
                joinedMsAgo,
                "outcome",
                outcome);
          }
        });
  }
}
