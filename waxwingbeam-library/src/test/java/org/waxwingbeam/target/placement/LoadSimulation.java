package org.waxwingbeam.target.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.Dispatcher;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.wire.feed.TargetRecord;

/**
 * Plays a load on a manual clock: entry instances that each decide by themselves, and targets with
 * few slots that a noisy neighbour slows down for short times and that work more slowly when full.
 */
final class LoadSimulation {
  static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
  static final long GOAL = 250 * MS;
  static final long DEADLINE = 1_200 * MS;
  private static final int TARGETS = 15;
  private static final int SLOTS = 4;
  private static final int QUEUE = 8;
  private static final double WORK_MS = 90;
  private static final double SLOW = 5;
  private static final double KNEE = 1.7;
  private static final double NOISE_MS = 100;
  private static final long NEWS_DELAY = 3 * MS;
  private static final long PROBE_TICK = 20 * MS;
  private static final double PROBE_WORK_MS = 6;

  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((one, other) -> Long.compare(one.at(), other.at()));
  private final List<Entry> entries = new ArrayList<>();
  private final Map<TargetId, Target> targets = new HashMap<>();
  private long now;
  private long attempts;
  private boolean checks;
  private double noisyPart = 0.2;
  private Result result = new Result(0, 0, 0, 0);

  private record Event(long at, Runnable run) {}

  /** What callers got: in time, later, refused and without an answer by their deadline. */
  record Result(int inTime, int late, int refused, int failed) {
    int asked() {
      return inTime + late + refused + failed;
    }
  }

  LoadSimulation(long seed, int entryCount, LongFunction<Dispatcher> factory) {
    random = new SplittableRandom(seed);
    for (int i = 1; i <= TARGETS; i++) {
      Target target = new Target(record(i));
      targets.put(target.id, target);
    }
    for (int i = 0; i < entryCount; i++) {
      entries.add(new Entry(factory.apply(i)));
    }
  }

  static TargetRecord record(int number) {
    return TargetRecord.newBuilder()
        .setId("t" + number)
        .setHost("10.0.0." + number)
        .setPort(80)
        .setService("alpha")
        .setVersion("v1")
        .setDataCentre("chamonix")
        .setSlots(SLOTS)
        .setState(TargetRecord.State.READY)
        .build();
  }

  static List<TargetRecord> records() {
    return java.util.stream.IntStream.rangeClosed(1, TARGETS)
        .mapToObj(LoadSimulation::record)
        .toList();
  }

  private void at(long time, Runnable run) {
    events.add(new Event(time, run));
  }

  private double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  /** Lets entry instances check the status of targets, each check at the cost of a little work. */
  LoadSimulation withStatusChecks() {
    checks = true;
    return this;
  }

  /** Sets the part of the time for which a neighbour slows a target down. */
  LoadSimulation withNoise(double part) {
    noisyPart = part;
    return this;
  }

  private void check(long end) {
    for (int i = 0; i < entries.size(); i++) {
      entries.get(i).probe(new ProbeAssignment(i, entries.size()));
    }
    if (now < end) {
      at(now + PROBE_TICK, () -> check(end));
    }
  }

  /** Plays a constant rate of requests. */
  Result play(double perSecond, long durationNanos) {
    targets.values().forEach(Target::shift);
    arrive(perSecond, durationNanos);
    tick(durationNanos);
    if (checks) {
      check(durationNanos);
    }
    while (!events.isEmpty()) {
      Event next = events.poll();
      now = next.at();
      next.run().run();
    }
    return result;
  }

  private void arrive(double perSecond, long end) {
    if (now >= end) {
      return;
    }
    entries.get(random.nextInt(entries.size())).ask();
    at(now + (long) exponential(1e9 / perSecond), () -> arrive(perSecond, end));
  }

  private void tick(long end) {
    entries.forEach(each -> each.take(each.dispatcher.tick(now)));
    if (now < end + 2 * DEADLINE) {
      at(now + 10 * MS, () -> tick(end));
    }
  }

  private void count(int inTime, int late, int refused, int failed) {
    result =
        new Result(
            result.inTime() + inTime,
            result.late() + late,
            result.refused() + refused,
            result.failed() + failed);
  }

  /** Tells the other entry instances, after the time that a datagram takes. */
  private void tell(Entry from, java.util.function.Consumer<PlacementDispatcher> news) {
    at(
        now + NEWS_DELAY,
        () ->
            entries.stream()
                .filter(each -> each != from)
                .map(each -> each.dispatcher)
                .filter(PlacementDispatcher.class::isInstance)
                .map(PlacementDispatcher.class::cast)
                .forEach(news));
  }

  private final class Entry {
    private final Dispatcher dispatcher;
    private final Map<Long, Long> arrivals = new HashMap<>();

    Entry(Dispatcher dispatcher) {
      this.dispatcher = dispatcher;
    }

    void ask() {
      long attempt = ++attempts;
      arrivals.put(attempt, now);
      take(
          List.of(
              dispatcher.request(
                  now,
                  new DispatchRequest(
                      attempt,
                      new ServiceName("alpha"),
                      new AccountName("common"),
                      new RouteName("r"),
                      true,
                      1,
                      64,
                      now + DEADLINE,
                      now + GOAL,
                      false,
                      Set.of()))));
    }

    void probe(ProbeAssignment duty) {
      if (dispatcher instanceof PlacementDispatcher placement) {
        placement.startDueProbes(now, duty).forEach(order -> probe(placement, order));
      }
    }

    private void probe(PlacementDispatcher placement, ProbeRequest order) {
      Target target = targets.get(order.target());
      at(
          now + NEWS_DELAY,
          () -> {
            target.interrupt(PROBE_WORK_MS);
            LoadReport report = target.report();
            tell(this, each -> each.applyReport(now, target.id, report));
            placement.completeProbe(
                now, order, new ProbeResult.Responded(Optional.empty(), Optional.of(report), 0));
          });
    }

    void take(List<Decision> decisions) {
      decisions.forEach(
          decision -> {
            switch (decision) {
              case Decision.Assigned assigned ->
                  targets.get(assigned.target()).accept(this, assigned.attemptId());
              case Decision.Refused refused -> {
                arrivals.remove(refused.attemptId());
                count(0, 0, 1, 0);
              }
              case Decision.Queued queued -> {}
            }
          });
    }

    void end(long attempt, Target target, AttemptOutcome outcome, long sent) {
      long took = now - arrivals.remove(attempt);
      boolean answered = outcome == AttemptOutcome.SUCCESS && took <= DEADLINE;
      boolean refused = outcome == AttemptOutcome.REFUSED_OVERLOADED;
      count(
          answered && took <= GOAL ? 1 : 0,
          answered && took > GOAL ? 1 : 0,
          refused ? 1 : 0,
          !answered && !refused ? 1 : 0);
      LoadReport report = target.report();
      tell(this, each -> each.applyReport(now, target.id, report));
      take(
          dispatcher.complete(
              now, new Completion(attempt, target.id, outcome, now - sent, Optional.of(report))));
    }
  }

  private final class Target {
    private final TargetId id;
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private boolean slow;
    private long advanced;
    private long generation;

    Target(TargetRecord record) {
      id = new TargetId(record.getHost(), record.getPort());
    }

    private final class Job {
      private final Entry entry;
      private final long attempt;
      private final long sent = now;
      private double leftMs = WORK_MS * (0.7 + 0.6 * random.nextDouble());

      Job(Entry entry, long attempt) {
        this.entry = entry;
        this.attempt = attempt;
      }
    }

    private double rate() {
      return 1 / ((slow ? SLOW : 1) * (running.size() >= SLOTS ? KNEE : 1));
    }

    LoadReport report() {
      return new LoadReport(running.size(), waiting.size(), SLOTS, slow ? 500 : 100);
    }

    /** The neighbour is noisy for a part of the time. */
    void shift() {
      advance();
      slow = random.nextDouble() < noisyPart;
      at(now + (long) (exponential(NOISE_MS) * MS), this::shiftAgain);
      plan();
    }

    private void shiftAgain() {
      if (now < TimeUnit.SECONDS.toNanos(60)) {
        shift();
      }
    }

    void accept(Entry entry, long attempt) {
      tell(entry, each -> each.addRemoteRequests(now, id, 1));
      advance();
      Job job = new Job(entry, attempt);
      if (running.size() < SLOTS) {
        running.add(job);
      } else if (waiting.size() < QUEUE) {
        waiting.add(job);
      } else {
        entry.end(attempt, this, AttemptOutcome.REFUSED_OVERLOADED, job.sent);
      }
      plan();
    }

    /** Takes work for a status check from one of the requests that run. */
    void interrupt(double workMs) {
      advance();
      if (running.size() >= SLOTS) {
        running.getFirst().leftMs += workMs;
      }
      plan();
    }

    private void advance() {
      double done = (now - advanced) / (double) MS * rate();
      running.forEach(job -> job.leftMs -= done);
      advanced = now;
    }

    private void plan() {
      generation++;
      long planned = generation;
      running.stream()
          .mapToDouble(job -> job.leftMs)
          .min()
          .ifPresent(
              left ->
                  at(
                      now + (long) Math.ceil(Math.max(0, left) / rate() * MS),
                      () -> finish(planned)));
    }

    private void finish(long planned) {
      if (planned != generation) {
        return;
      }
      advance();
      List<Job> ended = running.stream().filter(job -> job.leftMs <= 1e-3).toList();
      running.removeAll(ended);
      while (running.size() < SLOTS && !waiting.isEmpty()) {
        running.add(waiting.poll());
      }
      plan();
      ended.forEach(job -> job.entry.end(job.attempt, this, AttemptOutcome.SUCCESS, job.sent));
    }
  }
}
