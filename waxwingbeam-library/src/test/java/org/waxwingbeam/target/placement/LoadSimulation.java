package org.waxwingbeam.target.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
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
import org.waxwingbeam.target.TargetNotice;
import org.waxwingbeam.wire.feed.TargetRecord;
import org.waxwingbeam.wire.routing.RoutingDocument;
import org.waxwingbeam.wire.routing.RoutingState;
import org.waxwingbeam.wire.routing.ServiceTerms;

/**
 * Simulates a load on a manual clock. Several entry instances decide independently of each other.
 * The targets have few slots, are slowed down by a noisy neighbour for short times, and are slower
 * when all slots are in use.
 */
final class LoadSimulation {
  static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
  static final long GOAL = 250 * MS;
  static final long DEADLINE = 1_200 * MS;

  /** A routing state with the one service of the simulation. */
  static final RoutingState STATE =
      RoutingState.newBuilder()
          .setRevision(1)
          .setDocument(
              RoutingDocument.newBuilder()
                  .setVersion(1)
                  .addServices(ServiceTerms.newBuilder().setName("alpha").setHealthPath("/health")))
          .build();

  private static final int TARGETS = 15;
  private static final int SLOTS = 4;
  private static final int MAX_QUEUE = 8;
  private static final double RUN_TIME_MS = 90;
  private static final double NOISY_NEIGHBOUR_FACTOR = 5;
  private static final double FULL_FACTOR = 1.7;
  private static final double NOISE_MS = 100;
  private static final long NETWORK_DELAY = 3 * MS;
  private static final long PROBE_INTERVAL = 20 * MS;
  private static final double PROBE_RUN_TIME_MS = 6;

  /** Time for which a target rests or leaves, and groups of targets that do so in turn. */
  private static final long NOTICE_PERIOD = 1_000 * MS;

  private static final int NOTICE_GROUPS = 4;

  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((one, other) -> Long.compare(one.at(), other.at()));
  private final List<Entry> entries = new ArrayList<>();
  private final Map<TargetId, Target> targets = new HashMap<>();
  private long now;
  private long attempts;
  private boolean statusChecks;
  private boolean sharedReports = true;
  private boolean notices;
  private boolean noticesRead;
  private int unwantedRequests;
  private int checks;
  private final Set<String> connections = new HashSet<>();
  private double noisyFraction = 0.2;
  private Result result = new Result(0, 0, 0, 0);

  private record Event(long at, Runnable run) {}

  /** Requests by result: within the goal, late, refused, and without a response by the deadline. */
  record Result(int inTime, int late, int refused, int failed) {
    int requests() {
      return inTime + late + refused + failed;
    }
  }

  /** Creates the dispatcher of an entry instance. */
  interface DispatcherFactory {
    /**
     * Creates a dispatcher.
     *
     * @param entry the index of the entry instance
     * @param probes receives the status checks that requests wait for
     */
    Dispatcher create(int entry, Consumer<ProbeRequest> probes);
  }

  LoadSimulation(long seed, int entryCount, LongFunction<Dispatcher> factory) {
    this(seed, entryCount, TARGETS, (entry, probes) -> factory.apply(entry));
  }

  LoadSimulation(long seed, int entryCount, int targetCount, DispatcherFactory factory) {
    random = new SplittableRandom(seed);
    records(targetCount)
        .forEach(
            each -> {
              Target target = new Target(each);
              targets.put(target.id, target);
            });
    for (int i = 0; i < entryCount; i++) {
      entries.add(new Entry(i, factory));
    }
  }

  /** Stops the exchange of load reports between entry instances. */
  LoadSimulation withoutSharedReports() {
    sharedReports = false;
    return this;
  }

  /**
   * Makes a quarter of the targets in turn state that they leave or rest: some refuse every request
   * and state how long, the others serve on and start again at the end.
   *
   * @param read whether the entry instances read what the targets state
   */
  LoadSimulation withNotices(boolean read) {
    notices = true;
    noticesRead = read;
    return this;
  }

  /** Returns the requests that reached a target from an entry instance that it had told not to. */
  int unwantedRequests() {
    return unwantedRequests;
  }

  /** Returns the number of status checks that were sent. */
  int checks() {
    return checks;
  }

  /** Returns the number of connections that are needed if each is kept open. */
  int connections() {
    return connections.size();
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

  static List<TargetRecord> records(int count) {
    return IntStream.rangeClosed(1, count).mapToObj(LoadSimulation::record).toList();
  }

  static List<TargetRecord> records() {
    return records(TARGETS);
  }

  /** Returns a request for a target that arrives at the given time. */
  static DispatchRequest request(long attempt, long nowNanos) {
    return new DispatchRequest(
        attempt,
        new ServiceName("alpha"),
        new AccountName("common"),
        new RouteName("r"),
        true,
        1,
        64,
        nowNanos + DEADLINE,
        nowNanos + GOAL,
        false,
        Set.of());
  }

  private void schedule(long time, Runnable run) {
    events.add(new Event(time, run));
  }

  private double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  /** Makes entry instances send status checks, each of which takes a little time at the target. */
  LoadSimulation withStatusChecks() {
    statusChecks = true;
    return this;
  }

  /** Sets the fraction of the time for which a noisy neighbour slows a target down. */
  LoadSimulation withNoise(double fraction) {
    noisyFraction = fraction;
    return this;
  }

  private void sendStatusChecks(long end) {
    for (int i = 0; i < entries.size(); i++) {
      entries.get(i).probe(new ProbeAssignment(i, entries.size()));
    }
    if (now < end) {
      schedule(now + PROBE_INTERVAL, () -> sendStatusChecks(end));
    }
  }

  /** Simulates a constant rate of requests. */
  Result run(double perSecond, long durationNanos) {
    targets.values().forEach(Target::changeNoise);
    if (notices) {
      targets.values().forEach(each -> each.restartAfterLeaving(durationNanos));
    }
    arrive(perSecond, durationNanos);
    tick(durationNanos);
    if (statusChecks) {
      sendStatusChecks(durationNanos);
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
    entries.get(random.nextInt(entries.size())).sendRequest();
    schedule(now + (long) exponential(1e9 / perSecond), () -> arrive(perSecond, end));
  }

  private void tick(long end) {
    entries.forEach(each -> each.apply(each.dispatcher.tick(now)));
    if (now < end + 2 * DEADLINE) {
      schedule(now + 10 * MS, () -> tick(end));
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

  /** Applies an update at the other entry instances after the network delay. */
  private void notifyOthers(Entry from, Consumer<PlacementDispatcher> update) {
    if (!sharedReports) {
      return;
    }
    schedule(
        now + NETWORK_DELAY,
        () ->
            entries.stream()
                .filter(each -> each != from)
                .map(each -> each.dispatcher)
                .filter(PlacementDispatcher.class::isInstance)
                .map(PlacementDispatcher.class::cast)
                .forEach(update));
  }

  private final class Entry {
    private final int index;
    private final Dispatcher dispatcher;
    private final List<ProbeRequest> requestedProbes = new ArrayList<>();
    private final Map<Long, Long> arrivals = new HashMap<>();

    Entry(int index, DispatcherFactory factory) {
      this.index = index;
      dispatcher = factory.create(index, requestedProbes::add);
    }

    private void sendRequestedProbes() {
      List<ProbeRequest> orders = List.copyOf(requestedProbes);
      requestedProbes.clear();
      orders.forEach(each -> probe((PlacementDispatcher) dispatcher, each));
    }

    private void connect(TargetId target) {
      connections.add(index + " " + target);
    }

    void sendRequest() {
      long attempt = ++attempts;
      arrivals.put(attempt, now);
      apply(List.of(dispatcher.request(now, request(attempt, now))));
      sendRequestedProbes();
    }

    void probe(ProbeAssignment duty) {
      if (dispatcher instanceof PlacementDispatcher placement) {
        placement.startDueProbes(now, duty).forEach(order -> probe(placement, order));
      }
    }

    private void probe(PlacementDispatcher placement, ProbeRequest order) {
      Target target = targets.get(order.target());
      checks++;
      connect(order.target());
      schedule(
          now + NETWORK_DELAY,
          () -> {
            target.delay(PROBE_RUN_TIME_MS);
            LoadReport report = target.report();
            notifyOthers(this, each -> each.applyReport(now, target.id, report));
            schedule(
                now + NETWORK_DELAY,
                () ->
                    apply(
                        placement.completeProbe(
                            now,
                            order,
                            new ProbeResult.Answered(Optional.empty(), Optional.of(report), 0))));
          });
    }

    void apply(List<Decision> decisions) {
      decisions.forEach(
          decision -> {
            switch (decision) {
              case Decision.Assigned assigned -> send(assigned);
              case Decision.Refused refused -> {
                arrivals.remove(refused.attemptId());
                count(0, 0, 1, 0);
              }
              case Decision.Queued queued -> {}
            }
          });
    }

    private void send(Decision.Assigned assigned) {
      long attempt = assigned.attemptId();
      if (dispatcher.maySend(now, assigned.target(), assigned.instance())) {
        connect(assigned.target());
        targets.get(assigned.target()).accept(this, attempt);
        return;
      }
      apply(
          dispatcher.complete(
              now,
              new Completion(
                  attempt, assigned.target(), AttemptOutcome.CANCELLED, 0, Optional.empty())));
      apply(List.of(dispatcher.request(now, request(attempt, arrivals.get(attempt)))));
    }

    void end(long attempt, Target target, AttemptOutcome outcome, long sent) {
      long responseTime = now - arrivals.remove(attempt);
      boolean served = outcome == AttemptOutcome.SUCCESS && responseTime <= DEADLINE;
      boolean refused = outcome == AttemptOutcome.REFUSED_OVERLOADED;
      count(
          served && responseTime <= GOAL ? 1 : 0,
          served && responseTime > GOAL ? 1 : 0,
          refused ? 1 : 0,
          !served && !refused ? 1 : 0);
      LoadReport report = target.report();
      notifyOthers(this, each -> each.applyReport(now, target.id, report));
      target.stateNotice(this);
      apply(
          dispatcher.complete(
              now, new Completion(attempt, target.id, outcome, now - sent, Optional.of(report))));
    }
  }

  private final class Target {
    private final TargetId id;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final TargetRecord record;
    private final int number;
    private final Map<Entry, Long> unwantedUntil = new HashMap<>();
    private boolean noisy;
    private long updated;
    private long generation;

    Target(TargetRecord record) {
      this.record = record;
      id = new TargetId(record.getHost(), record.getPort());
      number = Integer.parseInt(record.getId().substring(1));
    }

    private boolean hasNotice() {
      return notices && now / NOTICE_PERIOD % NOTICE_GROUPS == number % NOTICE_GROUPS;
    }

    private boolean leaves() {
      return number % (2 * NOTICE_GROUPS) < NOTICE_GROUPS;
    }

    private long noticeEnd() {
      return (now / NOTICE_PERIOD + 1) * NOTICE_PERIOD;
    }

    void stateNotice(Entry entry) {
      if (!hasNotice()) {
        return;
      }
      unwantedUntil.put(entry, noticeEnd());
      if (noticesRead) {
        long leftMs = (noticeEnd() - now + MS - 1) / MS;
        TargetNotice notice =
            leaves() ? new TargetNotice(true, 0) : new TargetNotice(false, leftMs);
        entry.dispatcher.applyNotice(now, id, Optional.empty(), notice);
      }
    }

    void restartAfterLeaving(long end) {
      long next = noticeEnd();
      if (next >= end) {
        return;
      }
      schedule(
          next,
          () -> {
            TargetRecord restarted = record.toBuilder().setStartedMs(next / MS).build();
            entries.stream()
                .map(each -> each.dispatcher)
                .filter(each -> leaves() && each instanceof PlacementDispatcher)
                .map(PlacementDispatcher.class::cast)
                .forEach(each -> each.update(now, restarted));
            restartAfterLeaving(end);
          });
    }

    private final class Job {
      private final Entry entry;
      private final long attempt;
      private final long sent = now;
      private double leftMs = RUN_TIME_MS * (0.7 + 0.6 * random.nextDouble());

      Job(Entry entry, long attempt) {
        this.entry = entry;
        this.attempt = attempt;
      }
    }

    private double speed() {
      return 1
          / ((noisy ? NOISY_NEIGHBOUR_FACTOR : 1) * (running.size() >= SLOTS ? FULL_FACTOR : 1));
    }

    LoadReport report() {
      return new LoadReport(running.size(), queue.size(), SLOTS, noisy ? 500 : 100);
    }

    /** Turns the noisy neighbour on or off at random. */
    void changeNoise() {
      updateProgress();
      noisy = random.nextDouble() < noisyFraction;
      schedule(now + (long) (exponential(NOISE_MS) * MS), this::changeNoiseAgain);
      scheduleNextEnd();
    }

    private void changeNoiseAgain() {
      if (now < TimeUnit.SECONDS.toNanos(60)) {
        changeNoise();
      }
    }

    void accept(Entry entry, long attempt) {
      notifyOthers(entry, each -> each.addRemoteRequests(now, id, 1));
      if (now < unwantedUntil.getOrDefault(entry, 0L)) {
        unwantedRequests++;
      }
      if (hasNotice() && !leaves()) {
        entry.end(attempt, this, AttemptOutcome.REFUSED_OVERLOADED, now);
        return;
      }
      updateProgress();
      Job job = new Job(entry, attempt);
      if (running.size() < SLOTS) {
        running.add(job);
      } else if (queue.size() < MAX_QUEUE) {
        queue.add(job);
      } else {
        entry.end(attempt, this, AttemptOutcome.REFUSED_OVERLOADED, job.sent);
      }
      scheduleNextEnd();
    }

    /** Delays a running request by the time of a status check if all slots are in use. */
    void delay(double delayMs) {
      updateProgress();
      if (running.size() >= SLOTS) {
        running.getFirst().leftMs += delayMs;
      }
      scheduleNextEnd();
    }

    private void updateProgress() {
      double done = (now - updated) / (double) MS * speed();
      running.forEach(job -> job.leftMs -= done);
      updated = now;
    }

    private void scheduleNextEnd() {
      generation++;
      long scheduled = generation;
      running.stream()
          .mapToDouble(job -> job.leftMs)
          .min()
          .ifPresent(
              left ->
                  schedule(
                      now + (long) Math.ceil(Math.max(0, left) / speed() * MS),
                      () -> finish(scheduled)));
    }

    private void finish(long scheduled) {
      if (scheduled != generation) {
        return;
      }
      updateProgress();
      List<Job> ended = running.stream().filter(job -> job.leftMs <= 1e-3).toList();
      running.removeAll(ended);
      while (running.size() < SLOTS && !queue.isEmpty()) {
        running.add(queue.poll());
      }
      scheduleNextEnd();
      ended.forEach(job -> job.entry.end(job.attempt, this, AttemptOutcome.SUCCESS, job.sent));
    }
  }
}
