package org.waxwingbeam.tools.testing.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Injects random faults into a core: one after the other and overlapping, some at the leader, some
 * right after a change was acknowledged.
 */
final class CoreFaults {
  private static final int MAX_LOST = 2;
  private static final int MAX_HALVES_MS = 8_000;
  private static final int MAX_DOWN_MS = 2_000;
  private static final long RETRY_MS = 200;

  private final CoreGroup group;
  private final RandomGenerator random;
  private final Limit limit;
  private final Map<Integer, Long> lostUntilMs = new TreeMap<>();
  private final Queue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::ms));
  private final Set<Integer> succeeded = new HashSet<>();
  private final List<String> history = new ArrayList<>();
  private Optional<CoreFault> afterAcknowledgement = Optional.empty();
  private long nextMs;
  private int disksLost;

  /** How many machines may be lost at the same time. */
  enum Limit {
    /** Two machines; all if no disk is lost. */
    TOLERANCE,
    /** All machines, but only two disks in one series. */
    TWO_DISKS
  }

  private record Event(long ms, Runnable action) {}

  CoreFaults(CoreGroup group, Limit limit) {
    this.group = group;
    this.random = group.random();
    this.limit = limit;
  }

  /** Begins a series of faults. */
  void begin() {
    disksLost = 0;
    nextMs = group.nowMs();
  }

  /** Injects the faults that are due, with some time between two. */
  void inject(int meanIntervalMs) {
    runEvents();
    if (group.acknowledgedNow() && afterAcknowledgement.isPresent()) {
      CoreFault fault = afterAcknowledgement.get();
      afterAcknowledgement = Optional.empty();
      injectAt(victim(), fault);
    }
    if (group.nowMs() < nextMs) {
      return;
    }
    nextMs = group.nowMs() + random.nextInt(2 * meanIntervalMs);
    switch (random.nextInt(20)) {
      case 0 -> killAll();
      case 1 -> split();
      case 2 -> group.network().disturb(random.nextInt(30), random.nextInt(20), endMs(6_000));
      case 3, 4, 5, 6 -> afterAcknowledgement = Optional.of(CoreFault.random(random));
      default -> injectAt(victim(), CoreFault.random(random));
    }
  }

  /** Runs what belongs to earlier faults. */
  void runEvents() {
    while (!events.isEmpty() && events.peek().ms() <= group.nowMs()) {
      events.remove().action().run();
    }
  }

  /** Returns whether nothing that belongs to earlier faults is still to come. */
  boolean areOver() {
    afterAcknowledgement = Optional.empty();
    return events.isEmpty();
  }

  private long endMs(int maxMs) {
    return group.nowMs() + random.nextInt(maxMs);
  }

  private CoreMachine victim() {
    List<CoreMachine> machines = group.machines();
    return group
        .leader()
        .filter(each -> random.nextInt(5) < 2)
        .orElseGet(() -> machines.get(random.nextInt(machines.size())));
  }

  private boolean isLost(int address) {
    return lostUntilMs.getOrDefault(address, 0L) > group.nowMs();
  }

  private boolean areAllPresent() {
    return group.machines().stream().noneMatch(each -> isLost(each.address()))
        && lostUntilMs.values().stream().noneMatch(each -> each > group.nowMs());
  }

  private boolean mayLose(int address, boolean disk) {
    long others =
        lostUntilMs.entrySet().stream()
            .filter(each -> each.getKey() != address && each.getValue() > group.nowMs())
            .count();
    return switch (limit) {
      case TOLERANCE -> others < MAX_LOST;
      case TWO_DISKS -> !disk || disksLost < MAX_LOST;
    };
  }

  private void markLost(int address, long awayMs) {
    lostUntilMs.merge(address, group.nowMs() + awayMs + CoreProcess.CATCH_UP_MS, Math::max);
  }

  private void injectAt(CoreMachine machine, CoreFault fault) {
    int address = machine.address();
    boolean possible = machine.process().filter(each -> !each.isLeaving()).isPresent();
    if (!possible || !mayLose(address, fault.losesDisk())) {
      return;
    }
    disksLost += fault.losesDisk() ? 1 : 0;
    fault.awayMs().ifPresent(each -> markLost(address, each));
    log(address, fault);
    apply(machine, fault);
  }

  private void log(int address, Object fault) {
    boolean leads = group.leader().filter(each -> each.address() == address).isPresent();
    history.add(
        "%d: %s at %d%s".formatted(group.nowMs(), fault, address, leads ? ", which leads" : ""));
  }

  private void apply(CoreMachine machine, CoreFault fault) {
    long nowMs = group.nowMs();
    switch (fault) {
      case CoreFault.Kill(long downMs) -> machine.kill(downMs);
      case CoreFault.KillAtDiskOperation(int operations, long timeoutMs) ->
          machine.killAtDiskOperation(operations, nowMs + timeoutMs);
      case CoreFault.PowerLoss(long downMs) -> machine.losePower(downMs);
      case CoreFault.Restart(long downMs) -> machine.leave(Optional.of(downMs));
      case CoreFault.DiskLoss(long downMs) -> machine.loseDisk(downMs);
      case CoreFault.MachineLoss(long successorMs) -> loseMachine(machine, successorMs);
      case CoreFault.Replacement(long leaveMs) -> {
        if (startSuccessor(machine.address(), 0)) {
          leaveLater(machine, leaveMs);
        }
      }
      case CoreFault.Freeze(long durationMs) -> machine.freeze(nowMs + durationMs);
      case CoreFault.FullDisk(long durationMs) -> machine.fillDisk(nowMs + durationMs);
      case CoreFault.SlowDisk(long durationMs, long operationMs) ->
          machine.slowDisk(nowMs + durationMs, operationMs);
      case CoreFault.Isolation(long durationMs, CoreFault.Direction direction) ->
          group.machines().stream()
              .filter(each -> !each.equals(machine))
              .forEach(each -> cut(machine, each, nowMs + durationMs, direction));
      case CoreFault.Cut(long durationMs, CoreFault.Direction direction) ->
          cut(machine, other(machine), nowMs + durationMs, direction);
    }
  }

  private void loseMachine(CoreMachine machine, long successorMs) {
    machine.remove();
    // If it was about to be replaced, its successor runs already.
    if (startSuccessor(machine.address(), successorMs)) {
      lostUntilMs.remove(machine.address());
      markLost(group.lastAddress(), successorMs);
    }
  }

  /** Starts the successor of a machine, unless it has one. */
  private boolean startSuccessor(int address, long delayMs) {
    boolean first = succeeded.add(address);
    if (first) {
      group.replaceSeed(address, group.startMachine(delayMs, false));
    }
    return first;
  }

  private CoreMachine other(CoreMachine machine) {
    List<CoreMachine> others =
        group.machines().stream().filter(each -> !each.equals(machine)).toList();
    return others.get(random.nextInt(others.size()));
  }

  private void cut(
      CoreMachine machine, CoreMachine other, long untilMs, CoreFault.Direction direction) {
    if (direction != CoreFault.Direction.IN) {
      group.network().cut(machine.address(), other.address(), untilMs);
    }
    if (direction != CoreFault.Direction.OUT) {
      group.network().cut(other.address(), machine.address(), untilMs);
    }
  }

  private void leaveLater(CoreMachine machine, long delayMs) {
    events.add(new Event(group.nowMs() + delayMs, () -> leave(machine)));
  }

  /** Asks a machine to end for good once it runs and may be lost. */
  private void leave(CoreMachine machine) {
    if (machine.isGone()) {
      return;
    }
    if (machine.isWell() && mayLose(machine.address(), false)) {
      lostUntilMs.put(machine.address(), group.nowMs() + CoreFault.LEAVE_MS);
      log(machine.address(), "Leave");
      machine.leave(Optional.empty());
    } else {
      leaveLater(machine, RETRY_MS);
    }
  }

  private void killAll() {
    if (limit == Limit.TWO_DISKS || areAllPresent()) {
      boolean power = random.nextBoolean();
      history.add("%d: all lost, power %s".formatted(group.nowMs(), power));
      group.machines().forEach(each -> kill(each, power, random.nextInt(MAX_DOWN_MS)));
    }
  }

  private void kill(CoreMachine machine, boolean power, long downMs) {
    markLost(machine.address(), downMs);
    if (machine.process().isPresent()) {
      if (power) {
        machine.losePower(downMs);
      } else {
        machine.kill(downMs);
      }
    }
  }

  private void split() {
    if (limit == Limit.TOLERANCE && !areAllPresent()) {
      return;
    }
    final long untilMs = endMs(MAX_HALVES_MS);
    Map<Boolean, List<CoreMachine>> halves =
        group.machines().stream().collect(Collectors.partitioningBy(each -> random.nextBoolean()));
    history.add("%d: split until %d".formatted(group.nowMs(), untilMs));
    group.machines().forEach(each -> markLost(each.address(), untilMs - group.nowMs()));
    halves
        .get(true)
        .forEach(
            one ->
                halves
                    .get(false)
                    .forEach(other -> cut(one, other, untilMs, CoreFault.Direction.BOTH)));
  }

  /** Returns what was done, one line each. */
  String history() {
    return String.join("\n  ", history);
  }
}
