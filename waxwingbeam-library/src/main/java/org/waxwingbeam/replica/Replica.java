package org.waxwingbeam.replica;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.waxwingbeam.operator.MalformedMessageException;
import org.waxwingbeam.wire.operator.ReplicaStatus;
import org.waxwingbeam.wire.replica.AppendReply;
import org.waxwingbeam.wire.replica.AppendRequest;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.LogEntry;
import org.waxwingbeam.wire.replica.LogSnapshot;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.NoOperation;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;
import org.waxwingbeam.wire.replica.SnapshotRequest;

/**
 * Agrees with other replicas on the log, by the rules of Raft with pre-vote, check-quorum and a
 * leader lease.
 *
 * <p>Calls only change the replica's memory. {@link #flush} makes the changes durable and releases
 * the messages and results that stand on them, so that many calls share one sync.
 *
 * <pre>{@code
 * Replica replica = new Replica(journal, state, random, options, listener, nowNanos);
 * replica.receive(nowNanos, message);
 * replica.tick(nowNanos);
 * replica.flush(nowNanos).forEach(network::send);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class Replica implements CommandLog {
  private final String id;
  private final DurableLog disk;
  private final ReplicaLog log;
  private final ReplicatedState state;
  private final Options options;
  private final Consumer<LogEntry> appliedListener;
  private final ReplicaElection election;
  private final ElectionTimer timer;
  private final PendingProposals proposals = new PendingProposals();
  private List<ReplicaMessage> outgoing = new ArrayList<>();
  private Optional<LeaderState> leaderState = Optional.empty();
  private Optional<String> leaderId = Optional.empty();
  private ReplicaRole role = ReplicaRole.FOLLOWER;
  private Optional<IOException> failure = Optional.empty();
  private long commitIndex;
  private long appliedIndex;

  /**
   * Says how the log is kept short.
   *
   * @param snapshotEntries least number of entries between two snapshots; one is taken once the
   *     entries are also larger than the last snapshot
   * @param trailingEntries applied entries that are kept for replicas that are a little behind
   */
  public record Options(int snapshotEntries, int trailingEntries) {
    /** The options of the daemon. */
    public static final Options DEFAULT = new Options(1_000, 200);
  }

  /**
   * Creates a replica from what its journal holds.
   *
   * @param journal the open journal
   * @param state an empty state
   * @param random spreads campaigns
   * @param options how the log is kept short
   * @param appliedListener called with each entry after it was applied
   * @param nowNanos the present time on the replica's monotonic clock
   * @throws DamagedJournalException if the journal's snapshot does not hold a valid state
   */
  public Replica(
      Journal journal,
      ReplicatedState state,
      RandomGenerator random,
      Options options,
      Consumer<LogEntry> appliedListener,
      long nowNanos)
      throws DamagedJournalException {
    this.state = state;
    this.options = options;
    this.appliedListener = appliedListener;
    id = journal.replicaId();
    Journal.Recovered recovered = journal.takeRecovered();
    disk = new DurableLog(journal, recovered);
    log = disk.entries();
    election = new ReplicaElection(id, disk, this::send);
    restore(recovered.snapshot());
    commitIndex = Math.min(recovered.committed(), log.lastIndex());
    timer = new ElectionTimer(random, nowNanos);
  }

  private void restore(LogSnapshot snapshot) throws DamagedJournalException {
    try {
      state.restore(snapshot.getState());
    } catch (MalformedMessageException malformed) {
      throw new DamagedJournalException("snapshot", 0, malformed.getMessage());
    }
    commitIndex = snapshot.getIndex();
    appliedIndex = snapshot.getIndex();
  }

  /**
   * Creates a new log with this replica among its first voters. Does nothing unless the replica is
   * fresh.
   *
   * @param voters the first voters; all of them must be fresh
   */
  public void createLog(List<ReplicaMember> voters) {
    if (!isUninitialized()) {
      return;
    }
    disk.enterTerm(1, id);
    disk.append(
        Command.newBuilder().setMembership(Membership.newBuilder().addAllVoters(voters)).build());
  }

  /** Returns whether the replica has never belonged to a log. */
  public boolean isUninitialized() {
    return log.lastIndex() == 0 && !isFailed();
  }

  @Override
  public void propose(Command command, Consumer<ProposalOutcome> receiver) {
    Optional<String> refusal = proposals.refusal();
    if (role != ReplicaRole.LEADER) {
      receiver.accept(new ProposalOutcome.NotLeader());
    } else if (refusal.isPresent()) {
      receiver.accept(new ProposalOutcome.Refused(refusal.get()));
    } else {
      proposals.add(disk.append(command), term(), receiver);
    }
  }

  @Override
  public boolean holdsLeaderLease(long nowNanos) {
    return leaderState
        .filter(each -> appliedIndex >= each.startIndex())
        .filter(each -> each.majorityHoldsLease(nowNanos))
        .isPresent();
  }

  /**
   * Handles a message of another replica. Messages to other ids are ignored.
   *
   * @param nowNanos when it was received
   */
  public void receive(long nowNanos, ReplicaMessage message) {
    if (isFailed() || !message.getTo().equals(id)) {
      return;
    }
    boolean keepsLeader = role == ReplicaRole.LEADER || timer.keepsLeader(nowNanos);
    if (message.hasVoteRequest() && keepsLeader) {
      send(election.reply(message, false));
      return;
    }
    boolean preVote =
        message.getVoteRequest().getPreVote()
            || (message.getVoteReply().getPreVote() && message.getVoteReply().getGranted());
    if (message.getTerm() > term() && !preVote) {
      enterTerm(nowNanos, message.getTerm());
    }
    switch (message.getKindCase()) {
      case VOTE_REQUEST -> respondToVoteRequest(nowNanos, message);
      case VOTE_REPLY -> countVote(nowNanos, message);
      case APPEND_REQUEST -> respondToAppend(nowNanos, message);
      case APPEND_REPLY -> noteAppendReply(nowNanos, message);
      case SNAPSHOT_REQUEST -> respondToSnapshot(nowNanos, message);
      default -> {}
    }
  }

  private void enterTerm(long nowNanos, long newTerm) {
    disk.enterTerm(newTerm, "");
    follow(nowNanos, Optional.empty());
  }

  private void follow(long nowNanos, Optional<String> leader) {
    if (role != ReplicaRole.FOLLOWER) {
      timer.postpone(nowNanos);
    }
    role = ReplicaRole.FOLLOWER;
    leaderId = leader;
    leaderState = Optional.empty();
    proposals.abandon();
  }

  private void respondToVoteRequest(long nowNanos, ReplicaMessage message) {
    boolean granted = election.grants(message);
    if (granted && !message.getVoteRequest().getPreVote()) {
      disk.enterTerm(term(), message.getFrom());
      timer.postpone(nowNanos);
    }
    send(election.reply(message, granted));
  }

  private void countVote(long nowNanos, ReplicaMessage message) {
    if (role != ReplicaRole.CANDIDATE || !election.countVote(message)) {
      return;
    }
    if (election.isPreVote()) {
      campaign(nowNanos);
    } else {
      lead(nowNanos);
    }
  }

  private void preCampaign(long nowNanos) {
    role = ReplicaRole.CANDIDATE;
    leaderId = Optional.empty();
    timer.retry(nowNanos);
    if (election.start(term() + 1, true)) {
      campaign(nowNanos);
    }
  }

  private void campaign(long nowNanos) {
    disk.enterTerm(term() + 1, id);
    timer.retry(nowNanos);
    if (election.start(term(), false)) {
      lead(nowNanos);
    }
  }

  private void lead(long nowNanos) {
    role = ReplicaRole.LEADER;
    leaderId = Optional.of(id);
    leaderState =
        Optional.of(new LeaderState(id, term(), log, this::takeSnapshot, this::send, nowNanos));
    disk.append(Command.newBuilder().setNoOperation(NoOperation.getDefaultInstance()).build());
  }

  private void respondToAppend(long nowNanos, ReplicaMessage message) {
    AppendRequest request = message.getAppendRequest();
    if (message.getTerm() < term()) {
      reply(message, request.getSentNanos(), false, log.lastIndex() + 1);
      return;
    }
    noteLeader(nowNanos, message.getFrom());
    Optional<Long> mismatch = log.mismatch(request, commitIndex);
    if (mismatch.isPresent()) {
      reply(message, request.getSentNanos(), false, mismatch.get());
      return;
    }
    request.getEntriesList().forEach(entry -> log.store(entry, commitIndex));
    long matched = request.getPreviousIndex() + request.getEntriesCount();
    commitIndex = Math.max(commitIndex, Math.min(request.getCommitIndex(), matched));
    reply(message, request.getSentNanos(), true, matched);
  }

  private void noteLeader(long nowNanos, String leader) {
    follow(nowNanos, Optional.of(leader));
    timer.leaderHeard(nowNanos);
  }

  private void reply(ReplicaMessage request, long sentNanos, boolean matched, long index) {
    send(
        ReplicaMessage.newBuilder()
            .setTo(request.getFrom())
            .setAppendReply(
                AppendReply.newBuilder()
                    .setMatched(matched)
                    .setIndex(index)
                    .setSentNanos(sentNanos)));
  }

  private void noteAppendReply(long nowNanos, ReplicaMessage message) {
    if (message.getTerm() == term()) {
      leaderState.ifPresent(
          each -> each.receive(nowNanos, message.getFrom(), message.getAppendReply()));
    }
  }

  private void respondToSnapshot(long nowNanos, ReplicaMessage message) {
    SnapshotRequest request = message.getSnapshotRequest();
    if (message.getTerm() < term()) {
      reply(message, request.getSentNanos(), false, log.lastIndex() + 1);
      return;
    }
    noteLeader(nowNanos, message.getFrom());
    LogSnapshot snapshot = request.getSnapshot();
    if (log.termAt(snapshot.getIndex()) == snapshot.getTerm()) {
      commitIndex = Math.max(commitIndex, snapshot.getIndex());
    } else if (snapshot.getIndex() > commitIndex) {
      install(snapshot);
    }
    reply(message, request.getSentNanos(), true, Math.min(commitIndex, snapshot.getIndex()));
  }

  private void install(LogSnapshot snapshot) {
    try {
      restore(snapshot);
      disk.install(snapshot);
    } catch (IOException failed) {
      fail(failed);
    }
  }

  /**
   * Acts on the time that has passed.
   *
   * @param nowNanos the present time
   */
  public void tick(long nowNanos) {
    if (isFailed()) {
      return;
    }
    if (role == ReplicaRole.LEADER) {
      if (!leaderState.orElseThrow().hasResponsiveMajority(nowNanos)) {
        follow(nowNanos, Optional.empty());
      }
    } else if (timer.isDue(nowNanos) || isOnlyVoter()) {
      if (Memberships.isVoter(log.membership(), id)) {
        preCampaign(nowNanos);
      } else {
        leaderId = Optional.empty();
        timer.postpone(nowNanos);
      }
    }
  }

  /** Returns whether no other replica can lead, so that there is nobody to wait for. */
  private boolean isOnlyVoter() {
    return log.membership().getVotersCount() == 1 && Memberships.isVoter(log.membership(), id);
  }

  /**
   * Makes everything durable that was decided since the last call, applies what is committed, and
   * hands out the results.
   *
   * @param nowNanos the present time
   * @return the messages to send now
   * @throws IOException if the disk has failed; the replica takes no part any more
   */
  public List<ReplicaMessage> flush(long nowNanos) throws IOException {
    if (failure.isPresent()) {
      throw failure.get();
    }
    try {
      do {
        disk.sync(commitIndex);
        leaderState.ifPresent(
            each -> commitIndex = each.commitIndex(commitIndex, log.syncedIndex()));
        applyCommitted();
        leaderState.ifPresent(each -> each.followMembership(nowNanos));
      } while (disk.isUnsynced());
      leaderState.ifPresent(each -> each.replicate(nowNanos));
      snapshotIfDue();
    } catch (IOException failed) {
      fail(failed);
      throw failed;
    }
    List<ReplicaMessage> released = outgoing;
    outgoing = new ArrayList<>();
    return released;
  }

  private void applyCommitted() {
    while (appliedIndex < commitIndex) {
      LogEntry entry = log.get(appliedIndex + 1);
      CommandResult result = state.apply(entry.getCommand());
      appliedIndex++;
      appliedListener.accept(entry);
      proposals.applied(entry, result);
    }
  }

  private void snapshotIfDue() throws IOException {
    if (disk.isSnapshotDue(appliedIndex, options.snapshotEntries())) {
      disk.compact(takeSnapshot(), options.trailingEntries());
    }
  }

  private LogSnapshot takeSnapshot() {
    return LogSnapshot.newBuilder()
        .setIndex(appliedIndex)
        .setTerm(log.termAt(appliedIndex))
        .setMembership(log.membershipAt(appliedIndex))
        .setState(state.snapshot())
        .build();
  }

  private void fail(IOException reason) {
    proposals.abandon();
    leaderState = Optional.empty();
    leaderId = Optional.empty();
    role = ReplicaRole.FAILED;
    failure = Optional.of(reason);
    outgoing.clear();
  }

  private boolean isFailed() {
    return failure.isPresent();
  }

  private void send(ReplicaMessage.Builder message) {
    if (message.getTerm() == 0) {
      message.setTerm(term());
    }
    outgoing.add(message.setFrom(id).build());
  }

  /** Returns the id that was drawn when the data folder was created. */
  public String id() {
    return id;
  }

  /** Returns what part the replica has now. */
  public ReplicaRole role() {
    boolean waits = role == ReplicaRole.FOLLOWER;
    return waits && !Memberships.isVoter(log.membership(), id) ? ReplicaRole.LEARNER : role;
  }

  /** Returns the newest term that the replica knows. */
  public long term() {
    return disk.term();
  }

  /** Returns the id of the leader, if it is known. */
  public Optional<String> leaderId() {
    return leaderId;
  }

  /** Returns the index of the last entry that is known to be committed. */
  public long commitIndex() {
    return commitIndex;
  }

  /** Returns the index of the last entry that was applied. */
  public long appliedIndex() {
    return appliedIndex;
  }

  /** Returns the newest membership, whether it is committed or not. */
  public Membership membership() {
    return log.membership();
  }

  /**
   * Describes the members, with what this replica knows of the others if it leads.
   *
   * @param nowNanos the present time
   */
  public List<ReplicaStatus> memberStatuses(long nowNanos) {
    return ReplicaStatuses.of(this, nowNanos);
  }

  /**
   * Returns whether this replica has lately been in contact with a majority: as the leader, or
   * through one.
   *
   * @param nowNanos the present time
   */
  public boolean hasQuorumContact(long nowNanos) {
    return role == ReplicaRole.LEADER
        ? leaderState.filter(each -> each.majorityHoldsLease(nowNanos)).isPresent()
        : leaderId.isPresent() && timer.keepsLeader(nowNanos);
  }

  /** Returns whether the newest membership is committed and the leader may begin to change it. */
  boolean mayChangeMembership() {
    return log.membershipIndex() <= commitIndex
        && leaderState.filter(each -> appliedIndex >= each.startIndex()).isPresent();
  }

  /** Returns the index of the last entry of the log. */
  long lastIndex() {
    return log.lastIndex();
  }

  /** Returns what the replica knows as a leader, if it leads. */
  Optional<LeaderState> leaderState() {
    return leaderState;
  }
}
