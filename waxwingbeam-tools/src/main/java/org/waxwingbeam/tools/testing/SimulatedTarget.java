package org.waxwingbeam.tools.testing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.target.TargetAnnouncement;
import org.waxwingbeam.target.TargetAnnouncement.State;

/**
 * A simulated target with slots, a queue, noisy neighbours, cold starts, faults and load reports
 * that are late or false.
 *
 * @since 0.1.0
 */
public final class SimulatedTarget {
  /** Mean service time of a warm target without noisy neighbours. */
  public static final double MEAN_SERVICE_NANOS = 8e6;

  private static final int QUEUE_LIMIT = 200;
  private static final int COLD_SLOWDOWN = 4;
  private static final int COLLAPSE_SLOWDOWN = 10;
  private static final int WARM_UP_JOBS = 40;
  private static final long FAST_FAILURE_NANOS = 200_000;
  private static final long REPORT_LAG_NANOS = 50_000_000;

  private final EventLoop loop;
  private final SplittableRandom random;
  private final NoisyNeighbour neighbour;
  private final Deque<Job> queue = new ArrayDeque<>();
  private final Set<Job> running = new LinkedHashSet<>();
  private final Set<Job> requestsFromBeforeCold = new LinkedHashSet<>();
  private TargetAnnouncement announcement;
  private TargetFaults faults = TargetFaults.NONE;
  private boolean acceptsConnections = true;
  private boolean cold;
  private int warmUpJobsLeft;
  private int maxRunningWhileCold;
  private int startsAboveColdCapacity;
  private long longestExcessNanos;
  private long coldSinceNanos;
  private long firstExcessNanos = -1;
  private long requestsFromBeforeColdEndNanos;
  private long startedRequests;
  private long lastStartNanos = Long.MIN_VALUE;
  private LoadReport laggingReport = new LoadReport(0, 0, 0);
  private long reportedNanos;

  /** Creates a warm target. */
  public SimulatedTarget(
      EventLoop loop, SplittableRandom random, TargetAnnouncement announcement, boolean quiet) {
    this.loop = loop;
    this.random = random;
    this.neighbour = new NoisyNeighbour(random.split(), quiet);
    this.announcement = announcement;
  }

  /** Returns the announcement of the target. */
  public TargetAnnouncement announcement() {
    return announcement;
  }

  /** Returns whether the target accepts connections. */
  public boolean isAcceptingConnections() {
    return acceptsConnections;
  }

  /** Returns whether the target is cold: slower, and much slower above its cold capacity. */
  public boolean isCold() {
    return cold;
  }

  /** Returns the number of requests that were started. */
  public long startedRequests() {
    return startedRequests;
  }

  /** Returns when a request was last started, in nanoseconds. */
  public long lastStartNanos() {
    return lastStartNanos;
  }

  /** Returns the highest number of requests that ran at once while the target was cold. */
  public int maxRunningWhileCold() {
    return maxRunningWhileCold;
  }

  /** Returns the number of requests that were started above the cold capacity. */
  public int startsAboveColdCapacity() {
    return startsAboveColdCapacity;
  }

  /**
   * Returns for how long, at most, a cold target received requests above its cold capacity. The
   * time counts from the first such request, or, if that is later, from the end of the last request
   * that was already at the target when it turned cold.
   */
  public long longestExcessNanos() {
    return longestExcessNanos;
  }

  /** Sets the faults of the target. */
  public void setFaults(TargetFaults next) {
    faults = next;
  }

  /** Makes the target refuse requests and announce that it drains. */
  public void drain() {
    announcement = announcement.withState(State.DRAINING);
  }

  /** Ends the target's process; running and queued requests end with a lost connection. */
  public void stop() {
    acceptsConnections = false;
    List<Job> lost = new ArrayList<>(running);
    lost.addAll(queue);
    running.clear();
    queue.clear();
    lost.forEach(job -> job.end(AttemptOutcome.CONNECTION_LOST, delayedReport()));
  }

  /**
   * Restarts the target's process, cold and with the next boot id. It accepts requests only after
   * {@link #acceptRequests}.
   */
  public void restartCold() {
    stop();
    TargetAnnouncement old = announcement;
    announcement =
        new TargetAnnouncement(
            old.service(),
            old.target(),
            old.version(),
            old.dataCentre(),
            old.bootId() + 1,
            old.slots(),
            old.coldCapacity(),
            State.COLD,
            old.timeToLiveMs());
    makeCold();
  }

  /** Starts to accept requests. */
  public void acceptRequests() {
    acceptsConnections = true;
  }

  /** Makes the target cold without an announcement, as if it had lost its caches. */
  public void makeCold() {
    cold = true;
    coldSinceNanos = loop.now();
    requestsFromBeforeCold.clear();
    requestsFromBeforeCold.addAll(running);
    requestsFromBeforeCold.addAll(queue);
    requestsFromBeforeColdEndNanos = loop.now();
    warmUpJobsLeft = WARM_UP_JOBS;
  }

  /**
   * Accepts or refuses a request.
   *
   * @param route the request's route, on which faults may depend
   * @param receiver called once with the response, unless the request is cancelled
   * @return a handle to cancel the request
   */
  public Job serve(RouteName route, Consumer<Response> receiver) {
    Job job = new Job(route, receiver);
    if (!acceptsConnections) {
      job.end(AttemptOutcome.CONNECT_FAILED, delayedReport());
    } else if (announcement.state() == State.DRAINING) {
      job.end(AttemptOutcome.REFUSED_DRAINING, delayedReport());
    } else if (faults.drawFastFailure(random, route, running.size(), announcement.slots())) {
      loop.schedule(FAST_FAILURE_NANOS, () -> job.end(AttemptOutcome.FAILURE, delayedReport()));
    } else if (queue.size() >= QUEUE_LIMIT) {
      job.end(AttemptOutcome.REFUSED_OVERLOADED, delayedReport());
    } else if (cold && faults.refusesCold() && running.size() >= announcement.coldCapacity()) {
      recordExcess();
      job.end(AttemptOutcome.REFUSED_COLD, delayedReport());
    } else {
      admit(job);
    }
    return job;
  }

  private void admit(Job job) {
    if (cold || running.size() < announcement.slots()) {
      start(job);
    } else {
      queue.addLast(job);
    }
  }

  private void start(Job job) {
    running.add(job);
    startedRequests++;
    lastStartNanos = loop.now();
    if (cold) {
      recordStartWhileCold();
    }
    long work = (long) (-Math.log(1 - random.nextDouble()) * MEAN_SERVICE_NANOS * slowdown(job));
    loop.scheduleAt(neighbour.completionNanos(loop.now(), work), () -> finish(job));
  }

  private void recordStartWhileCold() {
    maxRunningWhileCold = Math.max(maxRunningWhileCold, running.size());
    if (running.size() > announcement.coldCapacity()) {
      startsAboveColdCapacity++;
      recordExcess();
    }
  }

  private void recordExcess() {
    if (firstExcessNanos < coldSinceNanos) {
      firstExcessNanos = loop.now();
    }
    long earlierWorkEnd =
        requestsFromBeforeCold.isEmpty() ? requestsFromBeforeColdEndNanos : loop.now();
    long excessStart = Math.max(firstExcessNanos, earlierWorkEnd);
    longestExcessNanos = Math.max(longestExcessNanos, loop.now() - excessStart);
  }

  private double slowdown(Job job) {
    double factor = faults.slowdown(job.route, running.size(), announcement.slots());
    if (!cold) {
      return factor;
    }
    return factor
        * (running.size() > announcement.coldCapacity() ? COLLAPSE_SLOWDOWN : COLD_SLOWDOWN);
  }

  private void finish(Job job) {
    if (!running.remove(job)) {
      return;
    }
    if (requestsFromBeforeCold.remove(job)) {
      requestsFromBeforeColdEndNanos = loop.now();
    }
    startQueued();
    boolean failed =
        faults.drawSlowFailure(random, job.route, running.size(), announcement.slots());
    job.end(failed ? AttemptOutcome.FAILURE : AttemptOutcome.SUCCESS, delayedReport());
  }

  private void startQueued() {
    countWarmUpJob();
    int limit = cold ? announcement.coldCapacity() : announcement.slots();
    while (!queue.isEmpty() && running.size() < limit) {
      start(queue.removeFirst());
    }
  }

  private void countWarmUpJob() {
    if (cold && --warmUpJobsLeft <= 0) {
      cold = false;
      if (announcement.state() == State.COLD) {
        announcement = announcement.withState(State.WARM);
      }
    }
  }

  /** Returns the load report that a probe receives. */
  public LoadReport currentReport() {
    return faults.reportsIdle()
        ? new LoadReport(0, 0, announcement.slots())
        : new LoadReport(running.size(), queue.size(), announcement.slots());
  }

  private LoadReport delayedReport() {
    if (loop.now() - reportedNanos > REPORT_LAG_NANOS) {
      reportedNanos = loop.now();
      laggingReport = new LoadReport(running.size(), queue.size(), announcement.slots());
    }
    return faults.reportsIdle() ? new LoadReport(0, 0, announcement.slots()) : laggingReport;
  }

  /**
   * The end of a request at the target.
   *
   * @param outcome how the request ended
   * @param report the target's load report
   */
  public record Response(AttemptOutcome outcome, LoadReport report) {}

  /** A request at the target. */
  public final class Job {
    private final RouteName route;
    private final Consumer<Response> receiver;
    private boolean cancelled;
    private boolean ended;

    private Job(RouteName route, Consumer<Response> receiver) {
      this.route = route;
      this.receiver = receiver;
    }

    /** Cancels the request; its receiver is not called any more. */
    public void cancel() {
      if (cancelled || ended) {
        return;
      }
      cancelled = true;
      if (requestsFromBeforeCold.remove(this)) {
        requestsFromBeforeColdEndNanos = loop.now();
      }
      if (running.remove(this)) {
        startQueued();
      } else {
        queue.remove(this);
      }
    }

    private void end(AttemptOutcome outcome, LoadReport report) {
      if (!cancelled && !ended) {
        ended = true;
        receiver.accept(new Response(outcome, report));
      }
    }
  }
}
