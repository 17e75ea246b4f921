package org.waxwingbeam.target.net;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.model.TargetId;

/**
 * Bounded pool of connections to one target. Idle connections are kept per event loop, so that an
 * exchange stays on the event loop of its caller.
 */
// A failed write or close is handled in channelInactive.
@SuppressWarnings("FutureReturnValueIgnored")
final class TargetPool {
  private static final EventLog LOG = new EventLog(TargetPool.class);

  /** Minimum time between two log lines about faults of a target. */
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Opens a connection on an event loop and passes it to the receiver, or empty if that failed. */
  interface Opener {
    void open(TargetPool pool, EventLoop loop, Consumer<Optional<TargetConnection>> receiver);
  }

  /**
   * Time from the loss of a connection to the check, in which a crashing process closes its other
   * sockets. A process that starts again within it passes for one that lived on.
   */
  private static final long CHECK_DELAY_MS = 20;

  private final TargetId target;
  private final Opener opener;

  // Lock order: this lock is a leaf. No other lock is acquired and no I/O blocks while it is held.
  private final Object lock = new Object();
  private final Map<EventLoop, Deque<TargetConnection>> idle = new HashMap<>();
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private final List<Checker> checkers = new ArrayList<>();
  private int openCount;
  private Optional<Long> lastLogNanos = Optional.empty();
  private int unloggedFaults;

  TargetPool(TargetId target, Opener opener) {
    this.target = target;
    this.opener = opener;
  }

  TargetId target() {
    return target;
  }

  /**
   * Calls the receiver on the event loop with a connection that may carry the request, or with
   * empty if none could be opened.
   */
  void acquire(
      Optional<String> requestId,
      int limit,
      EventLoop loop,
      Consumer<Optional<TargetConnection>> receiver) {
    Optional<TargetConnection> found;
    Optional<TargetConnection> evicted = Optional.empty();
    boolean mayOpen;
    synchronized (lock) {
      found = takeIdle(requestId, loop);
      mayOpen = found.isEmpty() && openCount < limit;
      if (mayOpen) {
        openCount++;
      } else if (found.isEmpty()) {
        waiters.add(new Waiter(requestId, loop, receiver));
        evicted = takeAnyIdle();
      }
    }
    if (mayOpen) {
      opener.open(this, loop, receiver);
    } else if (found.isPresent()) {
      receiver.accept(found);
    }
    // Once the evicted connection has closed, its permit goes to the first waiter.
    evicted.ifPresent(connection -> connection.channel().close());
  }

  /** Checks whether the target lives on; losses in quick succession share one check. */
  void checkAlive(int limit, EventLoop loop, Consumer<Boolean> receiver) {
    boolean first;
    synchronized (lock) {
      first = checkers.isEmpty();
      checkers.add(new Checker(loop, receiver));
    }
    if (first) {
      loop.schedule(() -> checkNow(limit, loop), CHECK_DELAY_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void checkNow(int limit, EventLoop loop) {
    List<Checker> asking = takeCheckers();
    if (hasOpenIdleConnection()) {
      notifyCheckers(asking, true);
    } else {
      acquire(Optional.empty(), limit, loop, onChecked(asking));
    }
  }

  /** Returns whether a connection is still open, which a crash would have ended. */
  private boolean hasOpenIdleConnection() {
    synchronized (lock) {
      return idle.values().stream()
          .flatMap(Deque::stream)
          .anyMatch(each -> each.channel().isActive());
    }
  }

  private List<Checker> takeCheckers() {
    synchronized (lock) {
      List<Checker> taken = List.copyOf(checkers);
      checkers.clear();
      return taken;
    }
  }

  private Consumer<Optional<TargetConnection>> onChecked(List<Checker> asking) {
    return found -> {
      found.ifPresent(this::release);
      notifyCheckers(asking, found.isPresent());
    };
  }

  private static void notifyCheckers(List<Checker> asking, boolean alive) {
    asking.forEach(each -> each.loop().execute(() -> each.receiver().accept(alive)));
  }

  /** Returns a connection to the pool after a complete exchange. Called on its event loop. */
  void release(TargetConnection connection) {
    EventLoop loop = connection.channel().eventLoop();
    connection.markIdle();
    Optional<Waiter> waiter;
    synchronized (lock) {
      waiter = takeWaiter(connection, loop);
      if (waiter.isEmpty() && waiters.isEmpty()) {
        idle.computeIfAbsent(loop, key -> new ArrayDeque<>()).push(connection);
        return;
      }
    }
    if (waiter.isPresent()) {
      loop.execute(() -> waiter.get().receiver().accept(Optional.of(connection)));
    } else {
      // No waiter can use the connection: close it so that its permit goes to the first.
      connection.channel().close();
    }
  }

  /** Removes a closed connection from the pool. Called on its event loop. */
  void closed(TargetConnection connection) {
    synchronized (lock) {
      Deque<TargetConnection> own = idle.get(connection.channel().eventLoop());
      if (own != null) {
        own.remove(connection);
      }
    }
    releasePermit();
  }

  /** Releases the permit of one connection, or passes it to the first waiter if there is one. */
  void releasePermit() {
    Waiter next;
    synchronized (lock) {
      next = waiters.poll();
      if (next == null) {
        openCount--;
        return;
      }
    }
    next.loop().execute(() -> opener.open(this, next.loop(), next.receiver()));
  }

  /** Logs why a connection is closed; faults that follow closely are only counted. */
  void logFault(String reason) {
    long now = System.nanoTime();
    int unlogged;
    synchronized (lock) {
      if (lastLogNanos.filter(last -> now - last < LOG_INTERVAL_NANOS).isPresent()) {
        unloggedFaults++;
        return;
      }
      lastLogNanos = Optional.of(now);
      unlogged = unloggedFaults;
      unloggedFaults = 0;
    }
    LOG.info("connection-faulty", "target", target, "reason", reason, "left_out", unlogged);
  }

  int openConnections() {
    synchronized (lock) {
      return openCount;
    }
  }

  private Optional<TargetConnection> takeIdle(Optional<String> requestId, EventLoop loop) {
    Iterator<TargetConnection> own =
        idle.computeIfAbsent(loop, key -> new ArrayDeque<>()).iterator();
    while (own.hasNext()) {
      TargetConnection connection = own.next();
      if (!connection.mayBeReused()) {
        own.remove();
        connection.channel().close();
      } else if (connection.mayCarry(requestId)) {
        own.remove();
        return Optional.of(connection);
      }
    }
    return Optional.empty();
  }

  private Optional<TargetConnection> takeAnyIdle() {
    return idle.values().stream().filter(own -> !own.isEmpty()).findFirst().map(Deque::removeLast);
  }

  private Optional<Waiter> takeWaiter(TargetConnection connection, EventLoop loop) {
    Iterator<Waiter> iterator = waiters.iterator();
    while (iterator.hasNext()) {
      Waiter waiter = iterator.next();
      if (waiter.loop() == loop && connection.mayCarry(waiter.requestId())) {
        iterator.remove();
        return Optional.of(waiter);
      }
    }
    return Optional.empty();
  }

  private record Waiter(
      Optional<String> requestId, EventLoop loop, Consumer<Optional<TargetConnection>> receiver) {}

  private record Checker(EventLoop loop, Consumer<Boolean> receiver) {}
}
