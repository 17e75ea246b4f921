package org.waxwingbeam.tools.testing.replica;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.MembershipCoordinator;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaRole;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.tools.testing.replica.SimulatedFolder.SimulatedCrashException;
import org.waxwingbeam.wire.replica.LogEntry;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/** One control replica on a simulated disk: it can crash, freeze, restart and lose its disk. */
final class SimulatedReplica {
  private static final Replica.Options OPTIONS = new Replica.Options(20, 5);

  private final int slot;
  private final RandomGenerator random;
  private final ReplicaInvariants invariants;
  private final List<ReplicaMessage> inbox = new ArrayList<>();
  private int diskNumber;
  private SimulatedFolder folder;
  private Optional<Running> running = Optional.empty();
  private int crashPercentOfOperations;
  private boolean diskFails;
  private long diskReplacementMs;
  private boolean diskFull;
  private long diskFullUntilMs;
  private long frozenUntilMs;
  private long restartMs;
  private int crashes;

  /** The state that is lost when the process ends. */
  record Running(Replica replica, ReplicatedState state, MembershipCoordinator coordinator) {}

  SimulatedReplica(int slot, RandomGenerator random, ReplicaInvariants invariants) {
    this.slot = slot;
    this.random = random;
    this.invariants = invariants;
    folder = new SimulatedFolder(this::beforeDiskOperation);
  }

  private void beforeDiskOperation() throws IOException {
    if (diskFails || diskFull) {
      throw new IOException("no space left");
    }
    if (crashPercentOfOperations > 0 && random.nextInt(100) < crashPercentOfOperations) {
      throw new SimulatedCrashException();
    }
  }

  int slot() {
    return slot;
  }

  /** Returns the id, which stays the same until the disk is lost. */
  String id() {
    return "replica-%d-%d".formatted(slot, diskNumber);
  }

  ReplicaMember member() {
    return ReplicaMember.newBuilder().setId(id()).setHost("127.0.0.1").setPort(1 + slot).build();
  }

  Optional<Running> running() {
    return running;
  }

  /** Returns the running process, unless it is frozen. */
  Optional<Running> runningUnlessFrozen(long nowMs) {
    return nowMs < frozenUntilMs ? Optional.empty() : running;
  }

  boolean isLeader() {
    return running.filter(each -> each.replica().role() == ReplicaRole.LEADER).isPresent();
  }

  int crashes() {
    return crashes;
  }

  void setCrashPercentOfOperations(int percent) {
    crashPercentOfOperations = percent;
  }

  /** Makes every disk operation fail until the disk is replaced by an empty one. */
  void failDisk(long replacementMs) {
    diskFails = true;
    diskReplacementMs = replacementMs;
  }

  /** Makes every disk operation fail for some time. */
  void fillDisk(long untilMs) {
    diskFullUntilMs = untilMs;
  }

  void freeze(long untilMs) {
    frozenUntilMs = untilMs;
  }

  void crash(long nowMs, long downMs) {
    crashes++;
    running = Optional.empty();
    inbox.clear();
    restartMs = nowMs + downMs;
    folder.crash(random);
  }

  /** Crashes the process and replaces the disk by an empty one, which gets a new replica id. */
  void loseDisk(long nowMs, long downMs) {
    crash(nowMs, downMs);
    diskNumber++;
    diskFails = false;
    folder = new SimulatedFolder(this::beforeDiskOperation);
  }

  void receive(ReplicaMessage message) {
    if (running.isPresent()) {
      inbox.add(message);
    }
  }

  /** Runs the process for one step and returns the messages that it sends. */
  List<ReplicaMessage> step(long nowMs) {
    if (nowMs < frozenUntilMs) {
      return List.of();
    }
    diskFull = nowMs < diskFullUntilMs;
    if (diskFails && nowMs >= diskReplacementMs) {
      loseDisk(nowMs, 0);
    }
    try {
      if (running.isEmpty() && nowMs >= restartMs && !diskFails) {
        start(nowMs);
      }
      return running.isPresent() ? processMessages(nowMs, running.get().replica()) : List.of();
    } catch (SimulatedCrashException crash) {
      crash(nowMs, 100 + random.nextInt(2_000));
    } catch (IOException failed) {
      running = Optional.empty();
      inbox.clear();
    }
    return List.of();
  }

  private void start(long nowMs) throws IOException {
    Journal journal = Journal.open(folder, this::id);
    InvariantViolation.check(
        journal.replicaId().equals(id()),
        () -> "journal has replica id %s: expected %s".formatted(journal.replicaId(), id()));
    ReplicatedState state = new ReplicatedState(new CountingClaims());
    Replica replica =
        new Replica(
            journal,
            state,
            random,
            OPTIONS,
            this::checkApplied,
            TimeUnit.MILLISECONDS.toNanos(nowMs));
    running = Optional.of(new Running(replica, state, new MembershipCoordinator(replica)));
  }

  private void checkApplied(LogEntry entry) {
    invariants.checkApplied(id(), entry);
  }

  private List<ReplicaMessage> processMessages(long nowMs, Replica replica) throws IOException {
    long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
    List<ReplicaMessage> batch = List.copyOf(inbox);
    inbox.clear();
    batch.forEach(message -> replica.receive(nowNanos, message));
    replica.tick(nowNanos);
    List<ReplicaMessage> sent = replica.flush(nowNanos);
    invariants.checkSingleLeader(replica);
    return sent;
  }
}
