package org.waxwingbeam.caller.net;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.waxwingbeam.caller.RoutePolicy;

/**
 * The active exchanges of one event loop. Checks their time limits when the next one may be due; no
 * timer runs while there are no exchanges.
 */
// The future of a scheduled tick is not needed.
@SuppressWarnings("FutureReturnValueIgnored")
final class ActiveExchanges {
  /** Longest time between two checks: limits can change without notice while a body arrives. */
  private static final long MAX_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final long MIN_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  /** Time from the arrival of a request to its first check. */
  private static final long FIRST_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final EventLoop loop;
  private final LongSupplier clock;
  // Changed on the event loop only, but also read by other threads.
  private final Set<Exchange> exchanges = new LinkedHashSet<>();
  private boolean ticking;
  private long nextTickNanos;

  ActiveExchanges(EventLoop loop, LongSupplier clock) {
    this.loop = loop;
    this.clock = clock;
  }

  void add(Exchange exchange) {
    synchronized (exchanges) {
      exchanges.add(exchange);
    }
    long dueNanos = clock.getAsLong() + FIRST_TICK_NANOS;
    if (!ticking || nextTickNanos - dueNanos > 0) {
      scheduleTick(dueNanos, FIRST_TICK_NANOS);
    }
  }

  void remove(Exchange exchange) {
    synchronized (exchanges) {
      exchanges.remove(exchange);
    }
  }

  private void scheduleTick(long dueNanos, long delayNanos) {
    ticking = true;
    nextTickNanos = dueNanos;
    loop.schedule(() -> tick(dueNanos), delayNanos, TimeUnit.NANOSECONDS);
  }

  private void tick(long dueNanos) {
    if (!ticking || dueNanos != nextTickNanos) {
      // Replaced by an earlier tick.
      return;
    }
    ticking = false;
    long now = clock.getAsLong();
    snapshot().forEach(each -> each.onTick(now));
    OptionalLong next = snapshot().stream().mapToLong(each -> each.nextCheckNanos(now)).min();
    if (next.isPresent()) {
      long delayNanos = Math.clamp(next.getAsLong() - now, MIN_TICK_NANOS, MAX_TICK_NANOS);
      scheduleTick(now + delayNanos, delayNanos);
    }
  }

  private List<Exchange> snapshot() {
    synchronized (exchanges) {
      return List.copyOf(exchanges);
    }
  }

  int size() {
    synchronized (exchanges) {
      return exchanges.size();
    }
  }

  /** Returns the route policies of the active requests, one for each request. */
  List<RoutePolicy> policies() {
    return snapshot().stream().map(Exchange::policy).toList();
  }
}
