package org.waxwingbeam.tools.testing.replica;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * A simulated network that delays, duplicates, reorders and loses messages.
 *
 * @param <M> the type of the messages
 * @since 0.1.0
 */
public final class SimulatedNetwork<M> {
  private final RandomGenerator random;
  private final Faults faults;
  private final List<InFlight<M>> inFlight = new ArrayList<>();
  private final Set<Link> blockedLinks = new HashSet<>();
  private boolean reliable;

  /**
   * The fault rates of the network.
   *
   * @param lossPercent percentage of messages that are lost
   * @param duplicationPercent percentage of messages that are duplicated
   * @param maxDelayMs maximum delay of a message, in milliseconds
   */
  public record Faults(int lossPercent, int duplicationPercent, int maxDelayMs) {}

  private record Link(String from, String to) {}

  private record InFlight<M>(String from, String to, M message, long arrivalMs) {}

  /** Receives delivered messages. */
  public interface Receiver<M> {
    /** Handles the message. */
    void receive(String from, String to, M message);
  }

  /** Creates a network without blocked links. */
  public SimulatedNetwork(RandomGenerator random, Faults faults) {
    this.random = random;
    this.faults = faults;
  }

  /** Sets whether the network stops losing and duplicating messages. */
  public void setReliable(boolean reliable) {
    this.reliable = reliable;
  }

  /** Sends a message. */
  public void send(long nowMs, String from, String to, M message) {
    int copies = !reliable && random.nextInt(100) < faults.duplicationPercent() ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      if (reliable || random.nextInt(100) >= faults.lossPercent()) {
        long delay = 1L + random.nextInt(reliable ? 2 : faults.maxDelayMs());
        inFlight.add(new InFlight<>(from, to, message, nowMs + delay));
      }
    }
  }

  /** Drops every message from one node to another until {@link #unblockAll}. */
  public void block(String from, String to) {
    blockedLinks.add(new Link(from, to));
  }

  /** Unblocks all links. */
  public void unblockAll() {
    blockedLinks.clear();
  }

  /** Returns whether messages from one node to another are lost. */
  public boolean isBlocked(String from, String to) {
    return blockedLinks.contains(new Link(from, to));
  }

  /** Delivers the messages whose arrival time has come. */
  public void deliver(long nowMs, Receiver<M> receiver) {
    List<InFlight<M>> arrived =
        inFlight.stream().filter(each -> each.arrivalMs() <= nowMs).toList();
    inFlight.removeIf(each -> each.arrivalMs() <= nowMs);
    arrived.stream()
        .filter(each -> !isBlocked(each.from(), each.to()))
        .forEach(each -> receiver.receive(each.from(), each.to(), each.message()));
  }
}
