package org.waxwingbeam.replica;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.waxwingbeam.wire.replica.AppendReply;
import org.waxwingbeam.wire.replica.AppendRequest;
import org.waxwingbeam.wire.replica.LogEntry;
import org.waxwingbeam.wire.replica.LogSnapshot;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;
import org.waxwingbeam.wire.replica.SnapshotRequest;

/** What a replica knows and does while it leads one term. */
final class LeaderState {
  private static final int MAX_ENTRIES = 256;
  private static final int MAX_ENTRIES_BYTES = 1 << 20;

  private final String id;
  private final long term;
  private final ReplicaLog log;
  private final long startIndex;
  private final Snapshots snapshots;
  private final Consumer<ReplicaMessage.Builder> outgoing;
  private final Map<String, ReplicaProgress> progress = new TreeMap<>();
  private long nextHeartbeatNanos;
  private long commitIndex;

  /** Makes a snapshot of the state after the applied entries. */
  interface Snapshots {
    LogSnapshot take();
  }

  LeaderState(
      String id,
      long term,
      ReplicaLog log,
      Snapshots snapshots,
      Consumer<ReplicaMessage.Builder> outgoing,
      long nowNanos) {
    this.id = id;
    this.term = term;
    this.log = log;
    this.snapshots = snapshots;
    this.outgoing = outgoing;
    startIndex = log.lastIndex() + 1;
    nextHeartbeatNanos = nowNanos;
    followMembership(nowNanos);
  }

  /** Returns the index of the first entry of this term. */
  long startIndex() {
    return startIndex;
  }

  /** Tracks exactly the other replicas of the newest membership. */
  void followMembership(long nowNanos) {
    List<String> others = others(log.membership()).toList();
    progress.keySet().retainAll(others);
    others.forEach(
        each ->
            progress.computeIfAbsent(
                each, fresh -> new ReplicaProgress(log.lastIndex() + 1, nowNanos)));
  }

  private Stream<String> others(Membership membership) {
    return Stream.concat(membership.getVotersList().stream(), membership.getLearnersList().stream())
        .map(ReplicaMember::getId)
        .filter(each -> !each.equals(id));
  }

  /** Sends heartbeats when they are due, and entries to the replicas that wait for none. */
  void replicate(long nowNanos) {
    boolean due = nowNanos - nextHeartbeatNanos >= 0;
    if (due) {
      nextHeartbeatNanos = nowNanos + ReplicaTimings.HEARTBEAT_NANOS;
    }
    progress.forEach(
        (to, each) -> {
          boolean behind = each.nextIndex() <= log.lastIndex();
          if (due || (behind && !each.inFlight())) {
            send(nowNanos, to, each);
          }
        });
  }

  private void send(long nowNanos, String to, ReplicaProgress each) {
    if (each.nextIndex() > log.baseIndex()) {
      sendEntries(nowNanos, to, each, each.nextIndex() - 1);
    } else if (each.awaitsSnapshotResponse(nowNanos)) {
      sendBareHeartbeat(nowNanos, to);
    } else {
      sendSnapshot(nowNanos, to, each);
    }
    each.sent(nowNanos);
  }

  private void sendEntries(long nowNanos, String to, ReplicaProgress each, long previous) {
    List<LogEntry> entries = log.slice(each.nextIndex(), MAX_ENTRIES, MAX_ENTRIES_BYTES);
    sendAppend(
        to,
        AppendRequest.newBuilder()
            .setPreviousIndex(previous)
            .setPreviousTerm(log.termAt(previous))
            .addAllEntries(entries)
            .setCommitIndex(commitIndex)
            .setSentNanos(nowNanos));
  }

  private void sendBareHeartbeat(long nowNanos, String to) {
    sendAppend(to, AppendRequest.newBuilder().setSentNanos(nowNanos));
  }

  private void sendAppend(String to, AppendRequest.Builder request) {
    outgoing.accept(ReplicaMessage.newBuilder().setTo(to).setAppendRequest(request));
  }

  private void sendSnapshot(long nowNanos, String to, ReplicaProgress each) {
    each.snapshotSent(nowNanos);
    outgoing.accept(
        ReplicaMessage.newBuilder()
            .setTo(to)
            .setSnapshotRequest(
                SnapshotRequest.newBuilder().setSnapshot(snapshots.take()).setSentNanos(nowNanos)));
  }

  /** Notes a reply. */
  void receive(long nowNanos, String from, AppendReply reply) {
    Optional.ofNullable(progress.get(from))
        .ifPresent(
            each -> {
              each.recordResponse(nowNanos, reply.getSentNanos());
              if (reply.getMatched()) {
                each.matched(reply.getIndex());
              } else {
                each.mismatched(reply.getIndex());
              }
            });
  }

  /**
   * Computes the last committed index: the last entry of this term that a majority has synced.
   *
   * @param before the index that is known to be committed
   * @param syncedIndex the last index that this replica has synced
   */
  long commitIndex(long before, long syncedIndex) {
    Membership membership = log.membership();
    List<Long> matches =
        membership.getVotersList().stream()
            .map(voter -> matchIndex(voter.getId(), syncedIndex))
            .sorted()
            .toList();
    long reached = matches.get(matches.size() - Memberships.majority(membership));
    commitIndex = reached > before && log.termAt(reached) == term ? reached : before;
    return commitIndex;
  }

  private long matchIndex(String voter, long syncedIndex) {
    return voter.equals(id) ? syncedIndex : progress.get(voter).matchIndex();
  }

  /** Returns whether a majority answered requests that were sent within the leader lease. */
  boolean majorityHoldsLease(long nowNanos) {
    return countVoters(
            each ->
                each.hasResponded()
                    && nowNanos - each.acknowledgedSendNanos() < ReplicaTimings.LEADER_LEASE_NANOS)
        >= Memberships.majority(log.membership());
  }

  /** Returns whether a majority has answered within the quorum time-out. */
  boolean hasResponsiveMajority(long nowNanos) {
    return countVoters(each -> isResponsive(nowNanos, each))
        >= Memberships.majority(log.membership());
  }

  private long countVoters(Predicate<ReplicaProgress> condition) {
    return log.membership().getVotersList().stream()
        .map(ReplicaMember::getId)
        .filter(each -> each.equals(id) || condition.test(progress.get(each)))
        .count();
  }

  /** Returns whether a replica has answered within the quorum time-out. */
  boolean isResponsive(long nowNanos, String replica) {
    ReplicaProgress each = progress.get(replica);
    return replica.equals(id)
        || (each != null && each.hasResponded() && isResponsive(nowNanos, each));
  }

  private static boolean isResponsive(long nowNanos, ReplicaProgress each) {
    return nowNanos - each.heardNanos() < ReplicaTimings.QUORUM_TIMEOUT_NANOS;
  }

  /** Returns how far another replica has come, if it is a member. */
  Optional<ReplicaProgress> progress(String replica) {
    return Optional.ofNullable(progress.get(replica));
  }
}
