package org.waxwingbeam.tools.load;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.waxwingbeam.tools.load.LoadPlan.Arrivals;
import org.waxwingbeam.tools.load.LoadPlan.RequestKind;
import org.waxwingbeam.tools.load.RequestOutcome.Kind;

/** Generates one thread's share of the load on one event loop. */
final class LoadDriver {
  private static final long TICK_MICROS = 500;
  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadPlan plan;
  private final int index;
  private final EventLoop loop;
  private final RandomGenerator random;
  private final Consumer<RequestOutcome> observer;
  private final List<EntryConnections> entries;
  private final LoadResult result = new LoadResult();
  private final CompletableFuture<LoadResult> done = new CompletableFuture<>();
  private final long maxCount;
  private final double totalWeight;
  private Future<?> ticker;
  private long startNanos;
  private long startMs;
  private long nextDueNanos;
  private long issued;
  private long ended;
  private boolean finished;

  LoadDriver(
      LoadPlan plan,
      int index,
      EventLoop loop,
      RandomGenerator random,
      Consumer<RequestOutcome> observer) {
    this.plan = plan;
    this.index = index;
    this.loop = loop;
    this.random = random;
    this.observer = observer;
    this.maxCount = plan.count() / plan.threads() + (index < plan.count() % plan.threads() ? 1 : 0);
    this.totalWeight = plan.requests().stream().mapToDouble(RequestKind::weight).sum();
    this.entries =
        IntStream.range(0, plan.entries().size())
            .mapToObj(entry -> new EntryConnections(this, plan, plan.entries().get(entry)))
            .toList();
  }

  CompletableFuture<LoadResult> start() {
    loop.execute(
        () -> {
          startNanos = System.nanoTime();
          startMs = System.currentTimeMillis();
          nextDueNanos = startNanos + drawIntervalNanos();
          ticker = loop.scheduleAtFixedRate(this::tick, 0, TICK_MICROS, TimeUnit.MICROSECONDS);
        });
    return done;
  }

  EventLoop loop() {
    return loop;
  }

  /** Records the outcome of a request, unless it has ended before. */
  void endRequest(PlannedRequest request, ResponseSummary response) {
    if (request.ended) {
      return;
    }
    request.ended = true;
    request.timeout.cancel(false);
    RequestOutcome outcome = response.toOutcome(request, System.nanoTime() - request.dueNanos);
    result.add(outcome);
    observer.accept(outcome);
    ended++;
  }

  private void tick() {
    long now = System.nanoTime();
    while (nextDueNanos <= now && !isPastEnd(nextDueNanos)) {
      issueRequest(nextDueNanos);
      nextDueNanos += drawIntervalNanos();
    }
    if (isPastEnd(Math.max(nextDueNanos, now)) && ended == issued && !finished) {
      finish(now);
    }
  }

  private boolean isPastEnd(long dueNanos) {
    boolean timeIsUp = dueNanos - startNanos >= TimeUnit.MILLISECONDS.toNanos(plan.durationMs());
    return timeIsUp || issued >= maxCount;
  }

  private void finish(long now) {
    finished = true;
    ticker.cancel(false);
    entries.forEach(EntryConnections::close);
    result.setSeconds((now - startNanos) / NANOS_PER_SECOND);
    done.complete(result);
  }

  private void issueRequest(long dueNanos) {
    long number = issued++;
    RequestKind kind = drawRequestKind();
    int entry = (int) ((number + index) % entries.size());
    String token = "%d-%d-%d".formatted(plan.seed(), index, number);
    String key = plan.keys() && !kind.isSafe() ? "key-" + startMs + "-" + token : "";
    long dueMs = startMs + TimeUnit.NANOSECONDS.toMillis(dueNanos - startNanos);
    PlannedRequest request = new PlannedRequest(kind, entry, token, key, dueNanos, dueMs);
    long leftMs = plan.timeoutMs() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dueNanos);
    request.timeout =
        loop.schedule(
            () -> entries.get(entry).timeOut(request), Math.max(0, leftMs), TimeUnit.MILLISECONDS);
    entries.get(entry).send(request);
  }

  private RequestKind drawRequestKind() {
    double left = random.nextDouble() * totalWeight;
    for (RequestKind kind : plan.requests()) {
      left -= kind.weight();
      if (left < 0) {
        return kind;
      }
    }
    return plan.requests().getLast();
  }

  private long drawIntervalNanos() {
    double mean = NANOS_PER_SECOND * plan.threads() / plan.ratePerSecond();
    return (long) (plan.arrivals() == Arrivals.POISSON ? mean * random.nextExponential() : mean);
  }

  void endRequestWithoutResponse(PlannedRequest request, Kind kind) {
    endRequest(request, ResponseSummary.withoutResponse(kind));
  }
}
