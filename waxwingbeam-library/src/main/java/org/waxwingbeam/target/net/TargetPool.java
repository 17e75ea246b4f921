package org.waxwingbeam.target.net;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.waxwingbeam.model.TargetId;

/**
 * The bounded connections to one target. Idle connections are kept by event loop, so that an
 * exchange stays on the event loop of its caller.
 */
// A failed write or close shows in channelInactive.
@SuppressWarnings("FutureReturnValueIgnored")
final class TargetPool {
  /** Opens a connection on an event loop and reports it, or empty if that failed. */
  interface Opener {
    void open(TargetPool pool, EventLoop loop, Consumer<Optional<TargetConnection>> receiver);
  }

  private final TargetId target;
  private final Opener opener;

  // Lock order: this lock is a leaf. No other lock is taken and no I/O waits while it is held.
  private final Object lock = new Object();
  private final Map<EventLoop, Deque<TargetConnection>> idle = new HashMap<>();
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private int open;

  TargetPool(TargetId target, Opener opener) {
    this.target = target;
    this.opener = opener;
  }

  TargetId target() {
    return target;
  }

  /** Calls the receiver on the event loop with a connection, or with empty if none opened. */
  void acquire(int limit, EventLoop loop, Consumer<Optional<TargetConnection>> receiver) {
    Optional<TargetConnection> found;
    Optional<TargetConnection> evicted = Optional.empty();
    boolean mayOpen;
    synchronized (lock) {
      found = takeIdle(loop);
      mayOpen = found.isEmpty() && open < limit;
      if (mayOpen) {
        open++;
      } else if (found.isEmpty()) {
        waiters.add(new Waiter(loop, receiver));
        evicted = takeAnyIdle();
      }
    }
    if (mayOpen) {
      opener.open(this, loop, receiver);
    } else if (found.isPresent()) {
      receiver.accept(found);
    }
    // The place of an evicted connection goes to the first waiter once it has closed.
    evicted.ifPresent(connection -> connection.channel().close());
  }

  /** Takes back a connection whose exchange is complete. Called on its event loop. */
  void release(TargetConnection connection) {
    EventLoop loop = connection.channel().eventLoop();
    connection.rest();
    Optional<Waiter> waiter;
    synchronized (lock) {
      waiter = takeWaiter(loop);
      if (waiter.isEmpty() && waiters.isEmpty()) {
        idle.computeIfAbsent(loop, key -> new ArrayDeque<>()).push(connection);
        return;
      }
    }
    if (waiter.isPresent()) {
      loop.execute(() -> waiter.get().receiver().accept(Optional.of(connection)));
    } else {
      // Those who wait are on other event loops: the place goes to the first of them.
      connection.channel().close();
    }
  }

  /** Notes that a connection has closed. Called on its event loop. */
  void closed(TargetConnection connection) {
    synchronized (lock) {
      Deque<TargetConnection> own = idle.get(connection.channel().eventLoop());
      if (own != null) {
        own.remove(connection);
      }
    }
    freePlace();
  }

  /** Gives one place back and hands it to the first waiter. */
  void freePlace() {
    Waiter next;
    synchronized (lock) {
      next = waiters.poll();
      if (next == null) {
        open--;
        return;
      }
    }
    next.loop().execute(() -> opener.open(this, next.loop(), next.receiver()));
  }

  int openConnections() {
    synchronized (lock) {
      return open;
    }
  }

  private Optional<TargetConnection> takeIdle(EventLoop loop) {
    Deque<TargetConnection> own = idle.get(loop);
    while (own != null && !own.isEmpty()) {
      TargetConnection connection = own.pop();
      if (connection.isFresh()) {
        return Optional.of(connection);
      }
      connection.channel().close();
    }
    return Optional.empty();
  }

  private Optional<TargetConnection> takeAnyIdle() {
    return idle.values().stream().filter(own -> !own.isEmpty()).findFirst().map(Deque::removeLast);
  }

  private Optional<Waiter> takeWaiter(EventLoop loop) {
    Iterator<Waiter> each = waiters.iterator();
    while (each.hasNext()) {
      Waiter waiter = each.next();
      if (waiter.loop() == loop) {
        each.remove();
        return Optional.of(waiter);
      }
    }
    return Optional.empty();
  }

  private record Waiter(EventLoop loop, Consumer<Optional<TargetConnection>> receiver) {}
}
