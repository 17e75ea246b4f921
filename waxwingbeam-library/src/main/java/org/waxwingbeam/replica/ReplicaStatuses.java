package org.waxwingbeam.replica;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.waxwingbeam.wire.operator.ReplicaStatus;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaMember;

/** Builds the status messages about the members of the log for operators. */
final class ReplicaStatuses {
  private ReplicaStatuses() {}

  static List<ReplicaStatus> of(Replica replica, long nowNanos) {
    Membership membership = replica.membership();
    return Stream.concat(
            membership.getVotersList().stream()
                .map(each -> status(replica, nowNanos, each, "voter")),
            membership.getLearnersList().stream()
                .map(each -> status(replica, nowNanos, each, "learner")))
        .toList();
  }

  private static ReplicaStatus status(
      Replica replica, long nowNanos, ReplicaMember member, String role) {
    ReplicaStatus.Builder status =
        ReplicaStatus.newBuilder()
            .setId(member.getId())
            .setAddress(KnownReplicas.address(member).toString())
            .setRole(role);
    if (member.getId().equals(replica.id())) {
      return status.setMatchIndex(replica.lastIndex()).build();
    }
    Optional<ReplicaProgress> progress =
        replica.leaderState().flatMap(each -> each.progress(member.getId()));
    progress.ifPresent(
        each ->
            status
                .setMatchIndex(each.matchIndex())
                .setLastHeardMsAgo(
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - each.lastReplyNanos())));
    return status.build();
  }
}
