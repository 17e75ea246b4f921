package org.waxwingbeam.tools.testing.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.waxwingbeam.replica.ProposalOutcome;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaRole;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.control.EntryMember;
import org.waxwingbeam.wire.replica.ChangeEntryView;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaMember;

/** The machines of a core, their network and a client whose acknowledged changes are recorded. */
final class CoreGroup {
  private static final int SEEDS = 3;
  private static final int START_MS = 20_000;
  private static final int CHANGE_INTERVAL_MS = 300;

  /** Time within which every running replica must have applied a change. */
  private static final long FOLLOW_MS = 1_000;

  private static final List<Replica.Options> OPTIONS =
      List.of(Replica.Options.DEFAULT, new Replica.Options(20, 5));

  private final RandomGenerator random;
  private final LinkNetwork network;
  private final Replica.Options options;
  private final ReplicaInvariants invariants = new ReplicaInvariants();
  private final Map<Integer, CoreMachine> machines = new TreeMap<>();
  private final List<Integer> seeds = new ArrayList<>();
  private final Map<String, Long> acknowledgedMs = new TreeMap<>();
  private int lastAddress;
  private int changes;
  private long nextChangeMs;
  private long nowMs;
  private boolean acknowledgedNow;

  CoreGroup(long seed) {
    random = new SplittableRandom(seed);
    network = new LinkNetwork(random, random.nextInt(30));
    options = OPTIONS.get(random.nextInt(OPTIONS.size()));
    for (int i = 1; i <= SEEDS; i++) {
      seeds.add(i);
    }
    for (int i = 0; i < CoreProcess.VOTERS; i++) {
      startMachine(0, true);
    }
    await(START_MS, "start", this::hasSettled);
  }

  RandomGenerator random() {
    return random;
  }

  LinkNetwork network() {
    return network;
  }

  long nowMs() {
    return nowMs;
  }

  /** Starts a machine at a new address and returns the address. */
  int startMachine(long delayMs, boolean mayCreate) {
    lastAddress++;
    List<Endpoint> endpoints = seeds.stream().map(CoreProcess::endpoint).toList();
    machines.put(
        lastAddress,
        new CoreMachine(
            lastAddress,
            new CoreMachine.Settings(endpoints, mayCreate, options),
            network,
            random,
            invariants,
            nowMs + delayMs));
    return lastAddress;
  }

  /** Makes new machines ask a successor instead of a seed that is gone. */
  void replaceSeed(int gone, int successor) {
    seeds.replaceAll(each -> each == gone ? successor : each);
  }

  /** Returns the address of the machine that was started last. */
  int lastAddress() {
    return lastAddress;
  }

  /** Returns the machines that are not gone. */
  List<CoreMachine> machines() {
    return List.copyOf(machines.values());
  }

  void step() {
    nowMs += LinkNetwork.STEP_MS;
    acknowledgedNow = false;
    network.step(nowMs);
    List.copyOf(machines.values()).forEach(each -> each.step(nowMs));
    machines.values().removeIf(CoreMachine::isGone);
    if (nowMs >= nextChangeMs) {
      nextChangeMs = nowMs + random.nextInt(CHANGE_INTERVAL_MS);
      propose();
    }
  }

  private void propose() {
    List<CoreProcess> leaders =
        machines.values().stream()
            .flatMap(each -> each.running().stream())
            .filter(each -> each.replica().role() == ReplicaRole.LEADER)
            .toList();
    if (!leaders.isEmpty()) {
      changes++;
      String name = "change-" + changes;
      Command command =
          Command.newBuilder()
              .setChangeEntryView(
                  ChangeEntryView.newBuilder().addPut(EntryMember.newBuilder().setName(name)))
              .build();
      leaders
          .get(random.nextInt(leaders.size()))
          .replica()
          .propose(command, outcome -> recordOutcome(name, outcome));
    }
  }

  private void recordOutcome(String name, ProposalOutcome outcome) {
    if (outcome instanceof ProposalOutcome.Applied) {
      acknowledgedMs.put(name, nowMs);
      acknowledgedNow = true;
    }
  }

  /** Returns whether a change was acknowledged in the last step. */
  boolean acknowledgedNow() {
    return acknowledgedNow;
  }

  int acknowledgedCount() {
    return acknowledgedMs.size();
  }

  /** Runs until a condition holds; fails if it does not within a time. */
  void await(long milliseconds, String what, BooleanSupplier condition) {
    long end = nowMs + milliseconds;
    while (!condition.getAsBoolean()) {
      if (nowMs >= end) {
        throw new InvariantViolation(
            "%s: not within %d ms, at %d ms: %s".formatted(what, milliseconds, nowMs, describe()));
      }
      step();
    }
  }

  void run(long milliseconds) {
    long end = nowMs + milliseconds;
    while (nowMs < end) {
      step();
    }
  }

  /** Returns the machine whose replica leads and may serve reads. */
  Optional<CoreMachine> leader() {
    return machines.values().stream()
        .filter(each -> each.running().filter(one -> one.leads(nowMs)).isPresent())
        .findFirst();
  }

  /** Returns whether every machine runs without a fault. */
  boolean areAllWell() {
    return network.isWell() && machines.values().stream().allMatch(CoreMachine::isWell);
  }

  /** Returns whether the running replicas are the voters, and hold every acknowledged change. */
  boolean hasSettled() {
    return leader().isPresent()
        && machines.size() == CoreProcess.VOTERS
        && machines.values().stream().allMatch(this::hasSettled);
  }

  private boolean hasSettled(CoreMachine machine) {
    Set<String> running =
        machines.values().stream()
            .flatMap(each -> each.running().stream())
            .map(each -> each.replica().id())
            .collect(Collectors.toSet());
    return machine
        .running()
        .filter(each -> ids(each.replica().membership()).equals(running))
        .filter(each -> missing(each, nowMs - FOLLOW_MS).isEmpty())
        .isPresent();
  }

  private static Set<String> ids(Membership membership) {
    return membership.getVotersList().stream()
        .map(ReplicaMember::getId)
        .collect(Collectors.toSet());
  }

  /** Returns the changes that were acknowledged by a time and that a replica lacks. */
  private Set<String> missing(CoreProcess process, long untilMs) {
    Set<String> missing =
        acknowledgedMs.entrySet().stream()
            .filter(each -> each.getValue() <= untilMs)
            .map(Map.Entry::getKey)
            .collect(Collectors.toCollection(TreeSet::new));
    process.state().entryView().getMembersList().forEach(each -> missing.remove(each.getName()));
    return missing;
  }

  /** Checks that the leader holds every change that was acknowledged. */
  void checkNothingLost() {
    leader()
        .flatMap(CoreMachine::running)
        .ifPresent(
            each ->
                InvariantViolation.check(
                    missing(each, nowMs).isEmpty(),
                    () ->
                        "lost at %d ms: %s; %s"
                            .formatted(nowMs, missing(each, nowMs), describe())));
  }

  /** Describes the state of all replicas for an error message. */
  String describe() {
    return machines.values().stream().map(this::describe).collect(Collectors.joining("\n  "));
  }

  private String describe(CoreMachine machine) {
    return machine
        .process()
        .map(CoreProcess::replica)
        .map(
            each ->
                "%s well %s %s term %d applied %d commit %d leader %s suspended %s"
                    .concat(" voters %s learners %s")
                    .formatted(
                        each.id(),
                        machine.isWell(),
                        each.role(),
                        each.term(),
                        each.appliedIndex(),
                        each.commitIndex(),
                        each.leaderId(),
                        each.suspension(),
                        ids(each.membership()),
                        each.membership().getLearnersList().stream()
                            .map(ReplicaMember::getId)
                            .toList()))
        .orElse("machine %d without a process".formatted(machine.address()));
  }
}
