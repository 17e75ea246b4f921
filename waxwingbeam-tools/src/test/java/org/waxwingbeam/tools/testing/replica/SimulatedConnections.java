package org.waxwingbeam.tools.testing.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.replica.ReplicaFrame;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/**
 * The connections of one replica, with the rules of the real ones: it sends messages on those that
 * it has opened only, and only to replicas whose hello it has got on them.
 */
final class SimulatedConnections {
  private final int address;
  private final LinkNetwork network;
  private final Supplier<ReplicaHello> ownHello;
  private final Consumer<ReplicaHello> helloReceiver;
  private final Consumer<ReplicaMessage> messageReceiver;
  private final Map<Integer, LinkNetwork.Attempt> attempts = new TreeMap<>();
  private final Map<Integer, SimulatedLink.End> outbound = new TreeMap<>();
  private final List<SimulatedLink.End> ends = new ArrayList<>();
  private final Map<String, SimulatedLink.End> endById = new HashMap<>();
  private final Map<SimulatedLink.End, String> idByEnd = new HashMap<>();
  private final Set<SimulatedLink.End> greeted = new HashSet<>();
  private long nowMs;
  private long sendDelayMs;

  SimulatedConnections(
      int address,
      LinkNetwork network,
      Supplier<ReplicaHello> ownHello,
      Consumer<ReplicaHello> helloReceiver,
      Consumer<ReplicaMessage> messageReceiver) {
    this.address = address;
    this.network = network;
    this.ownHello = ownHello;
    this.helloReceiver = helloReceiver;
    this.messageReceiver = messageReceiver;
  }

  void accept(SimulatedLink.End end) {
    ends.add(end);
  }

  /** Delays what is sent from now on. */
  void setSendDelay(long milliseconds) {
    sendDelayMs = milliseconds;
  }

  void connectTo(Set<Endpoint> addresses) {
    Set<Integer> ports = addresses.stream().map(Endpoint::port).collect(Collectors.toSet());
    ports.stream()
        .filter(each -> !attempts.containsKey(each) && !outbound.containsKey(each))
        .forEach(each -> attempts.put(each, network.attempt(nowMs, address, each)));
    List.copyOf(outbound.entrySet()).stream()
        .filter(each -> !ports.contains(each.getKey()))
        .forEach(each -> close(each.getValue()));
  }

  /**
   * Handles what has arrived.
   *
   * @return whether there was anything
   */
  boolean poll(long nowMs) {
    this.nowMs = nowMs;
    finishAttempts();
    boolean received = false;
    for (SimulatedLink.End end : List.copyOf(ends)) {
      Optional<ReplicaFrame> next = end.poll(nowMs, network);
      while (next.isPresent()) {
        received = true;
        receive(end, next.get());
        next = end.poll(nowMs, network);
      }
      if (!end.isOpen() || end.hasEnded(nowMs, network)) {
        close(end);
      }
    }
    return received;
  }

  private void finishAttempts() {
    List.copyOf(attempts.entrySet()).stream()
        .filter(each -> nowMs >= each.getValue().decidedMs())
        .forEach(each -> finishAttempt(each.getKey(), each.getValue()));
  }

  private void finishAttempt(int port, LinkNetwork.Attempt attempt) {
    attempts.remove(port);
    attempt
        .listener()
        .flatMap(each -> network.open(address, port, each))
        .ifPresent(
            end -> {
              ends.add(end);
              outbound.put(port, end);
              sendHello(end);
            });
  }

  private void close(SimulatedLink.End end) {
    end.close(nowMs);
    ends.remove(end);
    outbound.values().removeIf(end::equals);
    endById.values().removeIf(end::equals);
    idByEnd.remove(end);
    greeted.remove(end);
  }

  private void receive(SimulatedLink.End end, ReplicaFrame frame) {
    if (frame.hasMessage()) {
      messageReceiver.accept(frame.getMessage());
      return;
    }
    ReplicaHello hello = frame.getHello();
    boolean first = greeted.add(end);
    idByEnd.put(end, hello.getMember().getId());
    if (outbound.containsValue(end)) {
      endById.put(hello.getMember().getId(), end);
    } else if (first || hello.getFresh()) {
      sendHello(end);
    }
    helloReceiver.accept(hello);
  }

  private void sendHello(SimulatedLink.End end) {
    write(end, ReplicaFrame.newBuilder().setHello(ownHello.get()).build());
  }

  private void write(SimulatedLink.End end, ReplicaFrame frame) {
    end.send(nowMs + sendDelayMs + network.latencyMs(), frame);
  }

  void announce() {
    outbound.values().forEach(this::sendHello);
  }

  void send(ReplicaMessage message) {
    Optional.ofNullable(endById.get(message.getTo()))
        .filter(end -> !network.losesMessage())
        .ifPresent(end -> write(end, ReplicaFrame.newBuilder().setMessage(message).build()));
  }

  boolean isLinked(String id) {
    return idByEnd.containsValue(id);
  }

  /** Closes every connection, as the end of the process does. */
  void closeAll(long nowMs) {
    this.nowMs = nowMs;
    List.copyOf(ends).forEach(this::close);
  }
}
