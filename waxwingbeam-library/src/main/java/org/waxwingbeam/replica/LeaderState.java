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
import org.waxwingbeam.wire.replica.SilentVoter;
import org.waxwingbeam.wire.replica.SnapshotRequest;

/**
 * State of a leader in one term: replicates the log to the other replicas, tracks their progress
 * and advances the commit index.
 */
final class LeaderState {
  private static final int MAX_ENTRIES = 256;
  private static final int MAX_ENTRIES_BYTES = 1 << 20;

  /** Entries by which a replica may lag behind the leader and still count as caught up. */
  private static final long MAX_LAG_ENTRIES = 100;

  /** Silence from which on other replicas are told of it: two heartbeats without a reply. */
  private static final long REPORTED_SILENCE_NANOS = 2 * ReplicaTimings.HEARTBEAT_NANOS;

  private static final long NANOS_PER_MS = 1_000_000;

  private final String id;
  private final long term;
  private final ReplicaLog log;
  private final long startIndex;
  private final long startNanos;
  private final Snapshots snapshots;
  private final Consumer<ReplicaMessage.Builder> outgoing;
  private final Map<String, ReplicaProgress> progress = new TreeMap<>();
  private long nextHeartbeatNanos;
  private long commitIndex;

  /** Takes a snapshot of the state after the last applied entry. */
  interface Snapshots {
    LogSnapshot take();
  }

  /**
   * Creates the state of a leader whose term begins.
   *
   * @param lastContacts when the other replicas were last heard of
   */
  LeaderState(
      String id,
      long term,
      ReplicaLog log,
      Snapshots snapshots,
      Consumer<ReplicaMessage.Builder> outgoing,
      LastContacts lastContacts,
      long nowNanos) {
    this.id = id;
    this.term = term;
    this.log = log;
    this.snapshots = snapshots;
    this.outgoing = outgoing;
    startIndex = log.lastIndex() + 1;
    startNanos = nowNanos;
    nextHeartbeatNanos = nowNanos;
    others(log.membership())
        .forEach(
            each ->
                progress.put(
                    each,
                    new ReplicaProgress(
                        startIndex, lastContacts.lastContactNanos(nowNanos, each))));
  }

  /** Returns the index of the first entry of this term. */
  long startIndex() {
    return startIndex;
  }

  /**
   * Adds the new replicas of the newest membership to the tracked ones and drops the removed ones.
   */
  void trackMembers(long nowNanos) {
    List<String> others = others(log.membership()).toList();
    progress.keySet().retainAll(others);
    others.forEach(
        each ->
            progress.computeIfAbsent(
                each, missing -> new ReplicaProgress(log.lastIndex() + 1, nowNanos)));
  }

  private Stream<String> others(Membership membership) {
    return Stream.concat(membership.getVotersList().stream(), membership.getLearnersList().stream())
        .map(ReplicaMember::getId)
        .filter(each -> !each.equals(id));
  }

  /**
   * Sends heartbeats when they are due, and new entries or a snapshot to replicas without a request
   * in flight.
   */
  void replicate(long nowNanos) {
    boolean due = nowNanos - nextHeartbeatNanos >= 0;
    if (due) {
      nextHeartbeatNanos = nowNanos + ReplicaTimings.HEARTBEAT_NANOS;
    }
    progress.forEach(
        (to, each) -> {
          boolean behind = each.nextIndex() <= log.lastIndex();
          if (behind && !each.inFlight()) {
            send(nowNanos, to, each);
          } else if (due && behind) {
            // The reply tells whether the entries in flight were lost.
            sendBareHeartbeat(nowNanos, to);
          } else if (due) {
            send(nowNanos, to, each);
          }
        });
  }

  private void send(long nowNanos, String to, ReplicaProgress each) {
    if (each.nextIndex() > log.baseIndex()) {
      sendEntries(nowNanos, to, each, each.nextIndex() - 1);
    } else {
      sendSnapshot(nowNanos, to);
    }
    each.recordSent(nowNanos);
  }

  private void sendEntries(long nowNanos, String to, ReplicaProgress each, long previous) {
    List<LogEntry> entries = log.slice(each.nextIndex(), MAX_ENTRIES, MAX_ENTRIES_BYTES);
    sendAppend(
        nowNanos,
        to,
        AppendRequest.newBuilder()
            .setPreviousIndex(previous)
            .setPreviousTerm(log.termAt(previous))
            .addAllEntries(entries)
            .setCommitIndex(commitIndex));
  }

  private void sendBareHeartbeat(long nowNanos, String to) {
    sendAppend(nowNanos, to, AppendRequest.newBuilder());
  }

  private void sendAppend(long nowNanos, String to, AppendRequest.Builder request) {
    request.setSentNanos(nowNanos).addAllSilentVoters(silentVoters(nowNanos));
    outgoing.accept(ReplicaMessage.newBuilder().setTo(to).setAppendRequest(request));
  }

  private List<SilentVoter> silentVoters(long nowNanos) {
    return log.membership().getVotersList().stream()
        .map(ReplicaMember::getId)
        .filter(each -> silenceNanos(nowNanos, each) >= REPORTED_SILENCE_NANOS)
        .map(
            each ->
                SilentVoter.newBuilder()
                    .setId(each)
                    .setSilentMs(
                        (int)
                            Math.min(
                                Integer.MAX_VALUE, silenceNanos(nowNanos, each) / NANOS_PER_MS))
                    .build())
        .toList();
  }

  private void sendSnapshot(long nowNanos, String to) {
    outgoing.accept(
        ReplicaMessage.newBuilder()
            .setTo(to)
            .setSnapshotRequest(
                SnapshotRequest.newBuilder().setSnapshot(snapshots.take()).setSentNanos(nowNanos)));
  }

  /** Makes the next call of {@link #replicate} send heartbeats to all replicas. */
  void requestHeartbeats(long nowNanos) {
    nextHeartbeatNanos = nowNanos;
  }

  /** Returns whether a majority has replied to requests that were sent at a time or later. */
  boolean isConfirmedSince(long nanos) {
    return countVoters(each -> each.hasReplied() && each.acknowledgedSendNanos() - nanos >= 0)
        >= Memberships.majority(log.membership());
  }

  /** Records a replica's reply to an append or snapshot request. */
  void recordReply(long nowNanos, String from, AppendReply reply) {
    Optional.ofNullable(progress.get(from))
        .ifPresent(
            each -> {
              each.recordReply(nowNanos, reply.getSentNanos());
              if (reply.getMatched()) {
                each.recordMatch(reply.getIndex());
              } else {
                each.recordMismatch(reply.getIndex());
              }
            });
  }

  /**
   * Advances the commit index to the last entry that a majority of the voters has synced, if that
   * entry is of this term.
   *
   * @param before the index up to which entries are known to be committed
   * @param syncedIndex the last index that this replica has synced
   * @return the new commit index
   */
  long advanceCommitIndex(long before, long syncedIndex) {
    Membership membership = log.membership();
    List<Long> matches =
        membership.getVotersList().stream()
            .map(voter -> matchIndex(voter.getId(), syncedIndex))
            .sorted()
            .toList();
    long majorityIndex = matches.get(matches.size() - Memberships.majority(membership));
    commitIndex =
        majorityIndex > before && log.termAt(majorityIndex) == term ? majorityIndex : before;
    return commitIndex;
  }

  private long matchIndex(String voter, long syncedIndex) {
    return voter.equals(id) ? syncedIndex : progress.get(voter).matchIndex();
  }

  /** Returns whether a majority has replied to requests that were sent within the leader lease. */
  boolean hasLease(long nowNanos) {
    return countVoters(
            each ->
                each.hasReplied()
                    && nowNanos - each.acknowledgedSendNanos() < ReplicaTimings.LEADER_LEASE_NANOS)
        >= Memberships.majority(log.membership());
  }

  /** Returns whether a majority has replied within the quorum time-out. */
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

  /** Returns whether a replica has replied within the quorum time-out. */
  boolean isResponsive(long nowNanos, String replica) {
    ReplicaProgress each = progress.get(replica);
    return replica.equals(id)
        || (each != null && each.hasReplied() && isResponsive(nowNanos, each));
  }

  private static boolean isResponsive(long nowNanos, ReplicaProgress each) {
    return nowNanos - each.lastReplyNanos() < ReplicaTimings.QUORUM_TIMEOUT_NANOS;
  }

  /**
   * Returns for how long another member has not been heard of, by this leader or an earlier one; 0
   * for this replica and for one that is no member.
   */
  long silenceNanos(long nowNanos, String replica) {
    ReplicaProgress each = progress.get(replica);
    return each == null ? 0 : Math.max(0, nowNanos - each.lastReplyNanos());
  }

  /**
   * Returns whether this replica has led for long enough that every running voter should have
   * replied to it.
   */
  boolean hasHeardAllRunning(long nowNanos) {
    return nowNanos - startNanos >= 2 * ReplicaTimings.HEARTBEAT_NANOS;
  }

  /** Returns whether another replica replies and lacks few entries, of few bytes. */
  boolean isCaughtUp(long nowNanos, String replica) {
    return progress(replica)
        .filter(each -> isResponsive(nowNanos, replica))
        .map(ReplicaProgress::matchIndex)
        .filter(
            matched ->
                matched >= log.baseIndex()
                    && log.lastIndex() - matched <= MAX_LAG_ENTRIES
                    && log.bytesAfter(matched) <= MAX_ENTRIES_BYTES)
        .isPresent();
  }

  /** Returns the replication progress of another replica, if it is a member. */
  Optional<ReplicaProgress> progress(String replica) {
    return Optional.ofNullable(progress.get(replica));
  }
}
