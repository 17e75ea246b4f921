package org.waxwingbeam.replica;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.waxwingbeam.logging.EventLog;
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
 * Replicates the log with other replicas by the Raft protocol, with pre-vote, check-quorum and a
 * leader lease.
 *
 * <p>Calls change state in memory only. {@link #flush} makes the changes durable and then releases
 * the messages and results that depend on them, so that many calls share one sync.
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
  private static final EventLog LOG = new EventLog(Replica.class);

  private final String id;
  private final DurableLog durableLog;
  private final ReplicaLog log;
  private final ReplicatedState state;
  private final Options options;
  private final Consumer<LogEntry> appliedListener;
  private final ReplicaElection election;
  private final ElectionTimer timer;
  private final LeaderSearch leaderSearch;
  private final LastContacts lastContacts = new LastContacts();
  private final PendingProposals proposals = new PendingProposals();
  private final PendingConfirmations confirmations = new PendingConfirmations();
  private List<ReplicaMessage> outgoing = new ArrayList<>();
  private Optional<LeaderState> leaderState = Optional.empty();
  private Optional<String> leaderId = Optional.empty();
  private ReplicaRole role = ReplicaRole.FOLLOWER;
  private LeaderTerm leaderTerm = new LeaderTerm(0, 0);
  private boolean resigned;
  private Optional<IOException> suspension = Optional.empty();
  private long nextWriteNanos;
  private long nextCompactionNanos;
  private long commitIndex;
  private long appliedIndex;

  private static final class InvalidSnapshotException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidSnapshotException(MalformedMessageException cause) {
      super("snapshot: " + cause.getMessage(), cause);
    }
  }

  /**
   * Configures how much of the log is kept. Sizes are those of the encoded entries, in bytes; in
   * memory, an entry takes about three times as much.
   *
   * @param snapshotEntries number of entries after which a snapshot is taken; the entries since the
   *     last snapshot must also be at least as large as it before the next one is taken
   * @param snapshotBytes size of the entries after which a snapshot is taken under the same
   *     condition, however few they are
   * @param trailingEntries number of applied entries that stay in memory after a snapshot, so that
   *     replicas that lag slightly need no snapshot
   * @param trailingBytes maximum size of these entries
   * @param uncommittedBytes size of the uncommitted entries from which on a leader takes no further
   *     command
   */
  public record Options(
      int snapshotEntries,
      long snapshotBytes,
      int trailingEntries,
      long trailingBytes,
      long uncommittedBytes) {
    /** The options that the daemons use. */
    public static final Options DEFAULT = new Options(1_000, 200);

    private static final long DEFAULT_SNAPSHOT_BYTES = 2 << 20;
    private static final long DEFAULT_TRAILING_BYTES = 1 << 20;
    private static final long DEFAULT_UNCOMMITTED_BYTES = 4 << 20;

    /** Creates options with the default sizes. */
    public Options(int snapshotEntries, int trailingEntries) {
      this(
          snapshotEntries,
          DEFAULT_SNAPSHOT_BYTES,
          trailingEntries,
          DEFAULT_TRAILING_BYTES,
          DEFAULT_UNCOMMITTED_BYTES);
    }
  }

  /**
   * Creates a replica and restores its state from its journal.
   *
   * @param journal the open journal
   * @param state an empty state
   * @param random source of the random election time-outs
   * @param options when the log is compacted
   * @param appliedListener called with each entry after it was applied
   * @param nowNanos the current time on the replica's monotonic clock
   * @throws DamagedJournalException if the journal's snapshot does not hold a valid state
   * @throws IOException if the journal cannot be read
   */
  public Replica(
      Journal journal,
      ReplicatedState state,
      RandomGenerator random,
      Options options,
      Consumer<LogEntry> appliedListener,
      long nowNanos)
      throws IOException {
    this.state = state;
    this.options = options;
    this.appliedListener = appliedListener;
    id = journal.replicaId();
    durableLog = new DurableLog(journal);
    log = durableLog.entries();
    election = new ReplicaElection(id, durableLog, this::send);
    recover();
    timer = new ElectionTimer(random, nowNanos);
    leaderSearch = new LeaderSearch(nowNanos);
    nextCompactionNanos = nowNanos;
  }

  /** Restores the state from the journal, of which it holds a bounded part in memory. */
  private void recover() throws IOException {
    try {
      durableLog.recover(
          this::restore,
          committed -> {
            commitIndex = Math.max(commitIndex, committed);
            applyCommitted();
            durableLog.discardApplied(appliedIndex, options);
          });
    } catch (InvalidSnapshotException invalid) {
      throw new DamagedJournalException("snapshot", 0, invalid.getMessage());
    }
  }

  private void restore(LogSnapshot snapshot) {
    try {
      state.restore(snapshot.getState());
    } catch (MalformedMessageException malformed) {
      throw new InvalidSnapshotException(malformed);
    }
    commitIndex = snapshot.getIndex();
    appliedIndex = snapshot.getIndex();
  }

  /**
   * Creates a new log with its initial voters. Does nothing if this replica already belongs to a
   * log.
   *
   * @param voters the initial voters, including this replica; none may have belonged to a log
   */
  public void createLog(List<ReplicaMember> voters) {
    if (!isUninitialized()) {
      return;
    }
    durableLog.enterTerm(1, id);
    durableLog.append(
        Command.newBuilder().setMembership(Membership.newBuilder().addAllVoters(voters)).build());
  }

  /** Returns whether the replica has never belonged to a log. */
  public boolean isUninitialized() {
    return log.lastIndex() == 0 && !isSuspended();
  }

  /**
   * Returns whether a leader may add the replica as a learner without an operator: it has never
   * been a voter, so it is not one that was removed. It may hold entries if the leader that added
   * it lost its term before the change was committed.
   */
  public boolean mayJoin() {
    return !log.namesVoter(id) && !isSuspended();
  }

  @Override
  public void propose(Command command, Consumer<ProposalOutcome> receiver) {
    Optional<String> refusal = proposals.refusal().or(this::uncommittedRefusal);
    if (role != ReplicaRole.LEADER) {
      receiver.accept(new ProposalOutcome.NotLeader());
    } else if (refusal.isPresent()) {
      receiver.accept(new ProposalOutcome.Refused(refusal.get()));
    } else {
      proposals.add(durableLog.append(command), term(), receiver);
    }
  }

  private Optional<String> uncommittedRefusal() {
    long bytes = log.bytesAfter(commitIndex);
    return bytes < options.uncommittedBytes()
        ? Optional.empty()
        : Optional.of(
            "%d bytes of commands wait for the log: expected less than %d"
                .formatted(bytes, options.uncommittedBytes()));
  }

  @Override
  public boolean holdsLeaderLease(long nowNanos) {
    return leaderState
        .filter(each -> appliedIndex >= each.startIndex())
        .filter(each -> each.hasLease(nowNanos))
        .isPresent();
  }

  /**
   * Asks a majority of the voters whether this replica still leads. When that is confirmed, all
   * changes have been applied that were accepted anywhere before this call.
   *
   * @param nowNanos the current time
   * @param receiver called once with whether it leads
   */
  public void confirmLeadership(long nowNanos, Consumer<Boolean> receiver) {
    if (leaderState.isEmpty()) {
      receiver.accept(false);
      return;
    }
    confirmations.add(nowNanos, receiver);
    leaderState.get().requestHeartbeats(nowNanos);
  }

  /**
   * Handles a message from another replica. A message to another id is ignored.
   *
   * @param nowNanos the time of receipt
   */
  public void receive(long nowNanos, ReplicaMessage message) {
    if (isSuspended() || !message.getTo().equals(id)) {
      return;
    }
    lastContacts.record(nowNanos, message.getFrom());
    leaderSearch.recordMessage(nowNanos, message.getFrom(), log.membership());
    election.recordRefusal(message);
    boolean keepsLeader = role == ReplicaRole.LEADER || timer.hasRecentLeaderContact(nowNanos);
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
      case VOTE_REQUEST -> handleVoteRequest(nowNanos, message);
      case VOTE_REPLY -> countVote(nowNanos, message);
      case APPEND_REQUEST -> handleAppend(nowNanos, message);
      case APPEND_REPLY -> recordAppendReply(nowNanos, message);
      case SNAPSHOT_REQUEST -> handleSnapshot(nowNanos, message);
      default -> {}
    }
  }

  private void enterTerm(long nowNanos, long newTerm) {
    durableLog.enterTerm(newTerm, "");
    becomeFollower(nowNanos, Optional.empty());
  }

  private void becomeFollower(long nowNanos, Optional<String> leader) {
    if (role != ReplicaRole.FOLLOWER) {
      timer.reset(nowNanos);
    }
    if (role == ReplicaRole.LEADER) {
      leaderSearch.recordLeader(nowNanos, id);
    }
    role = ReplicaRole.FOLLOWER;
    leaderId = leader;
    leaderState = Optional.empty();
    election.abandon();
    proposals.abandon();
    confirmations.deny();
  }

  private void handleVoteRequest(long nowNanos, ReplicaMessage message) {
    boolean granted = election.grants(message);
    if (granted && !message.getVoteRequest().getPreVote()) {
      durableLog.enterTerm(term(), message.getFrom());
      timer.reset(nowNanos);
    }
    send(election.reply(message, granted));
  }

  private void countVote(long nowNanos, ReplicaMessage message) {
    if (role != ReplicaRole.CANDIDATE || !election.countVote(message)) {
      return;
    }
    if (message.getVoteReply().getPreVote()) {
      startElection(nowNanos);
    } else {
      becomeLeader(nowNanos);
    }
  }

  private void startPreVote(long nowNanos) {
    role = ReplicaRole.CANDIDATE;
    leaderId = Optional.empty();
    leaderSearch.recordPreVote();
    timer.resetForRetry(nowNanos);
    if (election.startRound(term() + 1, true)) {
      startElection(nowNanos);
    }
  }

  private void startElection(long nowNanos) {
    durableLog.enterTerm(term() + 1, id);
    leaderSearch.recordElection();
    timer.resetForRetry(nowNanos);
    if (election.startRound(term(), false)) {
      becomeLeader(nowNanos);
    }
  }

  private void becomeLeader(long nowNanos) {
    role = ReplicaRole.LEADER;
    leaderTerm = new LeaderTerm(nowNanos, timer.leaderContactNanos());
    leaderId = Optional.of(id);
    leaderState =
        Optional.of(
            new LeaderState(
                id, term(), log, this::takeSnapshot, this::send, lastContacts, nowNanos));
    durableLog.append(
        Command.newBuilder().setNoOperation(NoOperation.getDefaultInstance()).build());
  }

  private void handleAppend(long nowNanos, ReplicaMessage message) {
    AppendRequest request = message.getAppendRequest();
    if (message.getTerm() < term()) {
      reply(message, request.getSentNanos(), false, log.lastIndex() + 1);
      return;
    }
    followLeader(nowNanos, message.getFrom());
    lastContacts.recordReport(nowNanos, message.getFrom(), request.getSilentVotersList());
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

  private void followLeader(long nowNanos, String leader) {
    becomeFollower(nowNanos, Optional.of(leader));
    timer.recordLeaderContact(nowNanos);
    leaderSearch.recordLeader(nowNanos, leader);
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

  private void recordAppendReply(long nowNanos, ReplicaMessage message) {
    if (message.getTerm() == term()) {
      leaderState.ifPresent(
          each -> each.recordReply(nowNanos, message.getFrom(), message.getAppendReply()));
    }
  }

  private void handleSnapshot(long nowNanos, ReplicaMessage message) {
    SnapshotRequest request = message.getSnapshotRequest();
    if (message.getTerm() < term()) {
      reply(message, request.getSentNanos(), false, log.lastIndex() + 1);
      return;
    }
    followLeader(nowNanos, message.getFrom());
    LogSnapshot snapshot = request.getSnapshot();
    if (log.termAt(snapshot.getIndex()) == snapshot.getTerm()) {
      commitIndex = Math.max(commitIndex, snapshot.getIndex());
    } else if (snapshot.getIndex() > commitIndex) {
      installSnapshot(snapshot);
    }
    reply(message, request.getSentNanos(), true, Math.min(commitIndex, snapshot.getIndex()));
  }

  private void installSnapshot(LogSnapshot snapshot) {
    restore(snapshot);
    durableLog.installSnapshot(snapshot);
  }

  /**
   * Starts an election, or steps down as leader, if the respective time-out has passed.
   *
   * @param nowNanos the current time
   */
  public void tick(long nowNanos) {
    if (isSuspended()) {
      return;
    }
    if (role == ReplicaRole.LEADER) {
      if (!leaderState.orElseThrow().hasResponsiveMajority(nowNanos)) {
        becomeFollower(nowNanos, Optional.empty());
      }
    } else if (timer.isDue(nowNanos) || isOnlyVoter()) {
      if (Memberships.isVoter(log.membership(), id) && !resigned) {
        startPreVote(nowNanos);
      } else {
        leaderId = Optional.empty();
        timer.reset(nowNanos);
      }
    }
  }

  /**
   * Steps down as leader, if this replica leads, and starts no election any more. It still votes
   * and stores entries.
   *
   * @param nowNanos the current time
   */
  public void resign(long nowNanos) {
    resigned = true;
    if (role != ReplicaRole.FOLLOWER) {
      becomeFollower(nowNanos, Optional.empty());
    }
  }

  /**
   * Returns whether this replica is the only voter, so that it need not wait for another leader.
   */
  private boolean isOnlyVoter() {
    return log.membership().getVotersCount() == 1 && Memberships.isVoter(log.membership(), id);
  }

  /**
   * Makes all changes since the last call durable, applies the committed entries and reports the
   * outcomes of their proposals. If the disk refuses a write, the replica steps down and takes no
   * part until a later call has succeeded.
   *
   * @param nowNanos the current time
   * @return the messages to send now
   */
  public List<ReplicaMessage> flush(long nowNanos) {
    if (isSuspended() && nowNanos - nextWriteNanos < 0) {
      return List.of();
    }
    try {
      syncAndApply(nowNanos);
    } catch (IOException failed) {
      suspend(nowNanos, failed);
      return List.of();
    }
    resume(nowNanos);
    leaderState
        .filter(each -> appliedIndex >= each.startIndex())
        .ifPresent(each -> confirmations.confirm(each::isConfirmedSince));
    leaderState.ifPresent(each -> each.replicate(nowNanos));
    compactIfDue(nowNanos);
    List<ReplicaMessage> released = outgoing;
    outgoing = new ArrayList<>();
    return released;
  }

  private void syncAndApply(long nowNanos) throws IOException {
    do {
      durableLog.sync(commitIndex);
      leaderState.ifPresent(
          each -> commitIndex = each.advanceCommitIndex(commitIndex, log.syncedIndex()));
      applyCommitted();
      leaderState.ifPresent(each -> each.trackMembers(nowNanos));
    } while (durableLog.isUnsynced());
  }

  private void suspend(long nowNanos, IOException reason) {
    if (!isSuspended()) {
      LOG.error("replica-suspended", "replica", id, "term", term(), "reason", reason);
    }
    suspension = Optional.of(reason);
    nextWriteNanos = nowNanos + ReplicaTimings.WRITE_RETRY_NANOS;
    becomeFollower(nowNanos, Optional.empty());
    // They promise what is not durable.
    outgoing.clear();
  }

  private void resume(long nowNanos) {
    if (isSuspended()) {
      LOG.info("replica-resumed", "replica", id, "term", term(), "index", log.lastIndex());
      suspension = Optional.empty();
      timer.reset(nowNanos);
    }
  }

  /** Returns why the replica takes no part at the moment, or empty if it does. */
  public Optional<IOException> suspension() {
    return suspension;
  }

  private void applyCommitted() {
    while (appliedIndex < commitIndex) {
      LogEntry entry = log.get(appliedIndex + 1);
      CommandResult result = state.apply(entry.getCommand());
      appliedIndex++;
      appliedListener.accept(entry);
      proposals.complete(entry, result);
    }
  }

  /** Compacts the log, which may need more room on the disk than the next changes do. */
  private void compactIfDue(long nowNanos) {
    boolean due = durableLog.isSnapshotDue(appliedIndex, options);
    if (!due || nowNanos - nextCompactionNanos < 0) {
      return;
    }
    try {
      durableLog.compact(takeSnapshot(), options);
    } catch (IOException failed) {
      nextCompactionNanos = nowNanos + ReplicaTimings.COMPACTION_RETRY_NANOS;
      LOG.warn("compaction-failed", "replica", id, "reason", failed);
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

  private boolean isSuspended() {
    return suspension.isPresent();
  }

  private void send(ReplicaMessage.Builder message) {
    if (message.getTerm() == 0) {
      message.setTerm(term());
    }
    outgoing.add(message.setFrom(id).build());
  }

  /** Returns the id that was generated when the data folder was created. */
  public String id() {
    return id;
  }

  /** Returns the replica's current role. */
  public ReplicaRole role() {
    if (isSuspended()) {
      return ReplicaRole.SUSPENDED;
    }
    boolean isFollower = role == ReplicaRole.FOLLOWER;
    return isFollower && !Memberships.isVoter(log.membership(), id) ? ReplicaRole.LEARNER : role;
  }

  /** Returns the newest term that the replica knows. */
  public long term() {
    return durableLog.term();
  }

  /** Returns the id of the leader, if it is known. */
  public Optional<String> leaderId() {
    return leaderId;
  }

  /**
   * Returns what is known of why there is no leader.
   *
   * @param nowNanos the current time
   * @param links the connections with the other replicas
   */
  public LeaderAbsence leaderAbsence(long nowNanos, ReplicaLinks links) {
    Optional<VoteRound> round = election.lastRound();
    List<ReplicaMember> voters = log.membership().getVotersList();
    return new LeaderAbsence(
        new LeaderAbsence.Standing(
            role(), resigned, Memberships.isVoter(log.membership(), id), term(), leaderId),
        leaderSearch.lastLeader(nowNanos),
        leaderSearch.campaign(round),
        voters.stream()
            .map(each -> leaderSearch.voter(nowNanos, each, each.getId().equals(id), round, links))
            .toList(),
        log.membership().getLearnersCount(),
        links.failures(nowNanos));
  }

  /** Returns the number of elections that this replica has started since its process started. */
  public long elections() {
    return leaderSearch.totalElections();
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
   * Returns the status of each member, with the progress of the other replicas if this one leads.
   *
   * @param nowNanos the current time
   */
  public List<ReplicaStatus> memberStatuses(long nowNanos) {
    return ReplicaStatuses.of(this, nowNanos);
  }

  /**
   * Returns whether this replica has had recent contact with a majority, as the leader or through a
   * leader.
   *
   * @param nowNanos the current time
   */
  public boolean hasQuorumContact(long nowNanos) {
    return role == ReplicaRole.LEADER
        ? leaderState.filter(each -> each.hasLease(nowNanos)).isPresent()
        : leaderId.isPresent() && timer.hasRecentLeaderContact(nowNanos);
  }

  /**
   * Returns whether this replica leads and may propose a change of the membership: the newest one
   * is committed, and an entry of this term was applied.
   */
  boolean mayChangeMembership() {
    return log.membershipIndex() <= commitIndex
        && leaderState.filter(each -> appliedIndex >= each.startIndex()).isPresent();
  }

  /** Returns the index of the last entry of the log. */
  long lastIndex() {
    return log.lastIndex();
  }

  /** Returns the times of the current term, if this replica leads. */
  public Optional<LeaderTerm> leaderTerm() {
    return leaderState.map(leading -> leaderTerm);
  }

  /** Returns the state of the current leadership, if this replica leads. */
  Optional<LeaderState> leaderState() {
    return leaderState;
  }
}
