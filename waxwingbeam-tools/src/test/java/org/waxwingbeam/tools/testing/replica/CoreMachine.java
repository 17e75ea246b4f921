package org.waxwingbeam.tools.testing.replica;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.waxwingbeam.replica.DamagedJournalException;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.tools.testing.replica.SimulatedFolder.SimulatedCrashException;

/** A machine with a disk, on which a control replica runs and is started again when it ends. */
final class CoreMachine {
  private static final long RESTART_MS = 300;
  private static final long LEAVE_TIMEOUT_MS = 2_500;

  private final int address;
  private final Settings settings;
  private final LinkNetwork network;
  private final RandomGenerator random;
  private final ReplicaInvariants invariants;
  private SimulatedFolder folder;
  private int diskNumber;
  private Optional<CoreProcess> process = Optional.empty();
  private long startMs;
  private long frozenUntilMs;
  private long busyUntilMs;
  private long diskFullUntilMs;
  private long diskSlowUntilMs;
  private long syncMs;
  private long pendingDelayMs;
  private int operationsUntilCrash;
  private long crashUntilMs;
  private long leaveEndMs;
  private Optional<Long> downAfterLeaveMs = Optional.empty();
  private boolean leavesForGood;
  private boolean gone;
  private long nowMs;

  /**
   * The settings of a machine's process.
   *
   * @param seeds the addresses at which it looks for other replicas
   * @param mayCreate whether it may create the log
   * @param options how much of the log it keeps
   */
  record Settings(List<Endpoint> seeds, boolean mayCreate, Replica.Options options) {}

  CoreMachine(
      int address,
      Settings settings,
      LinkNetwork network,
      RandomGenerator random,
      ReplicaInvariants invariants,
      long startMs) {
    this.address = address;
    this.settings = settings;
    this.network = network;
    this.random = random;
    this.invariants = invariants;
    this.startMs = startMs;
    folder = new SimulatedFolder(this::beforeDiskOperation);
  }

  private void beforeDiskOperation() throws IOException {
    if (operationsUntilCrash > 0 && nowMs < crashUntilMs) {
      operationsUntilCrash--;
      if (operationsUntilCrash == 0) {
        throw new SimulatedCrashException();
      }
    }
    if (nowMs < diskSlowUntilMs) {
      pendingDelayMs += syncMs;
    }
    if (nowMs < diskFullUntilMs) {
      throw new IOException("no space left");
    }
  }

  int address() {
    return address;
  }

  private String id() {
    return "replica-%d-%d".formatted(address, diskNumber);
  }

  /** Returns the process, if it runs and is not frozen. */
  Optional<CoreProcess> running() {
    return process.filter(each -> nowMs >= frozenUntilMs);
  }

  Optional<CoreProcess> process() {
    return process;
  }

  boolean isGone() {
    return gone;
  }

  void step(long nowMs) {
    this.nowMs = nowMs;
    if (gone || nowMs < frozenUntilMs || nowMs < busyUntilMs) {
      return;
    }
    try {
      if (process.isEmpty() && nowMs >= startMs) {
        start();
      }
      process.ifPresent(this::run);
    } catch (SimulatedCrashException crash) {
      kill(RESTART_MS);
    } catch (DamagedJournalException damaged) {
      throw new InvariantViolation("machine %d: %s".formatted(address, damaged));
    } catch (IOException failed) {
      startMs = nowMs + RESTART_MS;
    }
  }

  private void start() throws IOException {
    network.powerOn(nowMs, address);
    Journal journal = Journal.open(folder, this::id);
    process =
        Optional.of(
            new CoreProcess(
                address,
                journal,
                settings,
                network,
                random,
                entry -> invariants.checkApplied(id(), entry),
                nowMs));
  }

  private void run(CoreProcess running) {
    running.step(nowMs, this::takeDelayMs);
    invariants.checkSingleLeader(running.replica());
    boolean mayEnd = running.mayDepart() || nowMs >= leaveEndMs;
    if (running.isLeaving() && mayEnd) {
      downAfterLeaveMs.ifPresentOrElse(this::kill, this::remove);
    }
  }

  private long takeDelayMs() {
    long delayMs = pendingDelayMs;
    pendingDelayMs = 0;
    busyUntilMs = nowMs + delayMs;
    return delayMs;
  }

  /** Ends the process; what it has written stays. */
  void kill(long downMs) {
    network.endProcess(address);
    process.ifPresent(each -> each.close(nowMs));
    stop(downMs);
  }

  private void stop(long downMs) {
    process = Optional.empty();
    startMs = nowMs + downMs;
    operationsUntilCrash = 0;
    frozenUntilMs = 0;
    busyUntilMs = 0;
    pendingDelayMs = 0;
    gone = leavesForGood;
  }

  /** Kills the process at one of its next disk operations, unless there are too few by a time. */
  void killAtDiskOperation(int operations, long untilMs) {
    operationsUntilCrash = operations;
    crashUntilMs = untilMs;
  }

  /** Stops the machine; what was not synced is lost, and the others are not told. */
  void losePower(long downMs) {
    network.powerOff(nowMs, address);
    folder.crash(random);
    stop(downMs);
  }

  /** Loses the disk; the machine starts again with an empty one at the same address. */
  void loseDisk(long downMs) {
    if (random.nextBoolean()) {
      kill(downMs);
    } else {
      losePower(downMs);
    }
    diskNumber++;
    folder = new SimulatedFolder(this::beforeDiskOperation);
  }

  /** Loses the machine for good. */
  void remove() {
    losePower(0);
    gone = true;
  }

  void freeze(long untilMs) {
    frozenUntilMs = Math.max(frozenUntilMs, untilMs);
  }

  void fillDisk(long untilMs) {
    diskFullUntilMs = untilMs;
  }

  void slowDisk(long untilMs, long syncMs) {
    diskSlowUntilMs = untilMs;
    this.syncMs = syncMs;
  }

  /**
   * Asks the process to end.
   *
   * @param downMs time from its end to the next start, or empty if the machine is then gone
   */
  void leave(Optional<Long> downMs) {
    leaveEndMs = nowMs + LEAVE_TIMEOUT_MS;
    downAfterLeaveMs = downMs;
    leavesForGood = downMs.isEmpty();
    process.ifPresent(CoreProcess::leave);
  }

  /** Returns whether the process runs without a fault of the machine. */
  boolean isWell() {
    return process.filter(each -> !each.isLeaving()).isPresent()
        && nowMs >= frozenUntilMs
        && nowMs >= busyUntilMs
        && (operationsUntilCrash == 0 || nowMs >= crashUntilMs)
        && nowMs >= diskFullUntilMs
        && nowMs >= diskSlowUntilMs;
  }
}
