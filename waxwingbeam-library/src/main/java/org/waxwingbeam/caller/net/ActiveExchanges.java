package org.waxwingbeam.caller.net;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.waxwingbeam.caller.RoutePolicy;

/**
 * The active exchanges of one event loop. Checks their time limits periodically; no timer runs
 * while there are no exchanges.
 */
// The future of a scheduled tick is not needed.
@SuppressWarnings("FutureReturnValueIgnored")
final class ActiveExchanges {
  /** Interval between two checks of the time limits. */
  private static final long TICK_MS = 5;

  private final EventLoop loop;
  private final LongSupplier clock;
  // Changed on the event loop only, but also read by other threads.
  private final Set<Exchange> exchanges = new LinkedHashSet<>();
  private boolean ticking;

  ActiveExchanges(EventLoop loop, LongSupplier clock) {
    this.loop = loop;
    this.clock = clock;
  }

  void add(Exchange exchange) {
    synchronized (exchanges) {
      exchanges.add(exchange);
    }
    if (!ticking) {
      ticking = true;
      loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
    }
  }

  void remove(Exchange exchange) {
    synchronized (exchanges) {
      exchanges.remove(exchange);
    }
  }

  private void tick() {
    long now = clock.getAsLong();
    snapshot().forEach(each -> each.onTick(now));
    ticking = size() > 0;
    if (ticking) {
      loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
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
