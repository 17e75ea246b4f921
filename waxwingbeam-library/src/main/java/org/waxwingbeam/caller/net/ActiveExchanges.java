package org.waxwingbeam.caller.net;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.waxwingbeam.caller.RoutePolicy;

/**
 * Holds the exchanges of one event loop and lets time pass for them. No timer runs while there is
 * none.
 */
// The result of a timer that never ends has no reader.
@SuppressWarnings("FutureReturnValueIgnored")
final class ActiveExchanges {
  /** Time between two looks at the limits of the exchanges. */
  private static final long TICK_MS = 5;

  private final EventLoop loop;
  private final LongSupplier clock;
  // Read by other threads that count exchanges; changed on the event loop only.
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
    copy().forEach(each -> each.onTick(now));
    ticking = size() > 0;
    if (ticking) {
      loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
    }
  }

  private List<Exchange> copy() {
    synchronized (exchanges) {
      return List.copyOf(exchanges);
    }
  }

  int size() {
    synchronized (exchanges) {
      return exchanges.size();
    }
  }

  /** Returns the terms of every request that is being served. */
  List<RoutePolicy> terms() {
    return copy().stream().map(Exchange::terms).toList();
  }
}
