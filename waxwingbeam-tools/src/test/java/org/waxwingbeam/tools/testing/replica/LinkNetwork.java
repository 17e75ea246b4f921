package org.waxwingbeam.tools.testing.replica;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Connections between addresses, on a manual clock. A cut in one direction holds back the frames in
 * that direction and lets no connection be opened. Both ends of a connection that has been stalled
 * for {@link #LINK_TIMEOUT_MS} close it.
 */
final class LinkNetwork {
  static final long STEP_MS = 10;
  static final long LINK_TIMEOUT_MS = 2_000;

  private static final long MAX_RETRANSMISSION_MS = 1_000;
  private static final long CONNECT_TIMEOUT_MS = 500;

  private final RandomGenerator random;
  private final int latencyMs;
  private final List<SimulatedLink> links = new ArrayList<>();
  private final Map<Integer, SimulatedConnections> listeners = new TreeMap<>();
  private final Set<Integer> poweredAddresses = new HashSet<>();
  private final List<Cut> cuts = new ArrayList<>();
  private int lossPercent;
  private int resetPercentPerStep;
  private long disturbedUntilMs;
  private long nowMs;

  private record Cut(int from, int to, long untilMs) {}

  /**
   * The result of an attempt to connect.
   *
   * @param decidedMs when the result is known
   * @param listener the replica that listens at the address, if it can be reached
   */
  record Attempt(long decidedMs, Optional<SimulatedConnections> listener) {}

  LinkNetwork(RandomGenerator random, int latencyMs) {
    this.random = random;
    this.latencyMs = latencyMs;
  }

  void step(long nowMs) {
    this.nowMs = nowMs;
    if (isDisturbed() && !links.isEmpty() && random.nextInt(100) < resetPercentPerStep) {
      links.get(random.nextInt(links.size())).reset(nowMs);
    }
    cuts.removeIf(each -> nowMs >= each.untilMs());
    links.forEach(each -> each.step(nowMs, this));
    links.removeIf(each -> !each.isOpen());
  }

  void cut(int from, int to, long untilMs) {
    cuts.add(new Cut(from, to, untilMs));
  }

  boolean isCut(int from, int to) {
    return !cuts.isEmpty()
        && cuts.stream().anyMatch(each -> each.from() == from && each.to() == to);
  }

  /** Returns after what time what was sent during a cut is sent again. */
  long retransmissionMs(long cutMs) {
    return random.nextLong(Math.min(cutMs, MAX_RETRANSMISSION_MS) + 1);
  }

  /** Loses a part of the messages and resets connections at random until a time. */
  void disturb(int lossPercent, int resetPercentPerStep, long untilMs) {
    this.lossPercent = lossPercent;
    this.resetPercentPerStep = resetPercentPerStep;
    disturbedUntilMs = untilMs;
  }

  boolean losesMessage() {
    return isDisturbed() && random.nextInt(100) < lossPercent;
  }

  private boolean isDisturbed() {
    return nowMs < disturbedUntilMs;
  }

  /** Returns whether there is no cut and no disturbance. */
  boolean isWell() {
    return cuts.isEmpty() && !isDisturbed();
  }

  long latencyMs() {
    return STEP_MS + (latencyMs == 0 ? 0 : random.nextInt(latencyMs));
  }

  void listen(int address, SimulatedConnections connections) {
    poweredAddresses.add(address);
    listeners.put(address, connections);
  }

  /** Ends the process at an address; the others are told. */
  void endProcess(int address) {
    listeners.remove(address);
  }

  /** Stops the machine at an address; the others are not told. */
  void powerOff(long nowMs, int address) {
    listeners.remove(address);
    poweredAddresses.remove(address);
    links.stream().filter(each -> each.joins(address)).forEach(each -> each.lose(address, nowMs));
  }

  /** Starts the machine at an address, which resets the connections that it does not know. */
  void powerOn(long nowMs, int address) {
    if (poweredAddresses.add(address)) {
      links.stream().filter(each -> each.joins(address)).forEach(each -> each.reset(nowMs));
    }
  }

  Attempt attempt(long nowMs, int from, int to) {
    boolean reachable = poweredAddresses.contains(to) && !isCut(from, to) && !isCut(to, from);
    return reachable
        ? new Attempt(nowMs + 2 * latencyMs(), Optional.ofNullable(listeners.get(to)))
        : new Attempt(nowMs + CONNECT_TIMEOUT_MS, Optional.empty());
  }

  /** Opens a connection if the replica still listens, and returns the opener's end. */
  Optional<SimulatedLink.End> open(int from, int to, SimulatedConnections listener) {
    if (!listener.equals(listeners.get(to))) {
      return Optional.empty();
    }
    SimulatedLink link = new SimulatedLink(from, to);
    links.add(link);
    listener.accept(link.acceptor());
    return Optional.of(link.opener());
  }
}
