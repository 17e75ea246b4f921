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
  private final Deque<Job> waiting = new ArrayDeque<>();
  private final Set<Job> running = new LinkedHashSet<>();
  private final Set<Job> residual = new LinkedHashSet<>();
  private TargetAnnouncement announcement;
  private TargetFaults faults = TargetFaults.NONE;
  private boolean up = true;
  private boolean cold;
  private int warmUpJobsLeft;
  private int mostRunningCold;
  private int coldExcesses;
  private long longestExcessNanos;
  private long coldSince;
  private long firstExcess = -1;
  private long residualEnd;
  private long served;
  private long lastStart = Long.MIN_VALUE;
  private LoadReport laggingReport = new LoadReport(0, 0, 0);
  private long reportedAt;

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
  public boolean isUp() {
    return up;
  }

  /** Returns whether the target is cold, that is, collapses above its cold capacity. */
  public boolean isCold() {
    return cold;
  }

  /** Returns the number of requests that were started. */
  public long served() {
    return served;
  }

  /** Returns when a request was last started, in nanoseconds. */
  public long lastStart() {
    return lastStart;
  }

  /** Returns the highest number of requests that ran at once while the target was cold. */
  public int mostRunningCold() {
    return mostRunningCold;
  }

  /** Returns the number of requests that were started above the cold capacity. */
  public int coldExcesses() {
    return coldExcesses;
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
  public void breakDown(TargetFaults next) {
    faults = next;
  }

  /** Makes the target refuse requests and announce that it drains. */
  public void drain() {
    announcement = announcement.withState(State.DRAINING);
  }

  /** Ends the target's process; running and queued requests end with a lost connection. */
  public void stop() {
    up = false;
    List<Job> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    lost.forEach(job -> job.end(AttemptOutcome.CONNECTION_LOST, report()));
  }

  /**
   * Restarts the target's process, cold and with the next boot id. It accepts requests only after
   * {@link #open}.
   */
  public void startAnew() {
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
    goCold();
  }

  /** Starts to accept requests. */
  public void open() {
    up = true;
  }

  /** Makes the target cold without any announcement, for instance as if its caches were lost. */
  public void goCold() {
    cold = true;
    coldSince = loop.now();
    residual.clear();
    residual.addAll(running);
    residual.addAll(waiting);
    residualEnd = loop.now();
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
    if (!up) {
      job.end(AttemptOutcome.CONNECT_FAILED, report());
    } else if (announcement.state() == State.DRAINING) {
      job.end(AttemptOutcome.REFUSED_DRAINING, report());
    } else if (faults.failsFast(random, route, running.size(), announcement.slots())) {
      loop.after(FAST_FAILURE_NANOS, () -> job.end(AttemptOutcome.FAILURE, report()));
    } else if (waiting.size() >= QUEUE_LIMIT) {
      job.end(AttemptOutcome.REFUSED_OVERLOADED, report());
    } else if (cold && faults.refusesCold() && running.size() >= announcement.coldCapacity()) {
      noteExcess();
      job.end(AttemptOutcome.REFUSED_COLD, report());
    } else {
      admit(job);
    }
    return job;
  }

  private void admit(Job job) {
    if (cold || running.size() < announcement.slots()) {
      start(job);
    } else {
      waiting.addLast(job);
    }
  }

  private void start(Job job) {
    running.add(job);
    served++;
    lastStart = loop.now();
    if (cold) {
      noteColdStart();
    }
    long work = (long) (-Math.log(1 - random.nextDouble()) * MEAN_SERVICE_NANOS * slowdown(job));
    loop.at(neighbour.endOf(loop.now(), work), () -> finish(job));
  }

  private void noteColdStart() {
    mostRunningCold = Math.max(mostRunningCold, running.size());
    if (running.size() > announcement.coldCapacity()) {
      coldExcesses++;
      noteExcess();
    }
  }

  private void noteExcess() {
    if (firstExcess < coldSince) {
      firstExcess = loop.now();
    }
    long earlierWorkEnd = residual.isEmpty() ? residualEnd : loop.now();
    long noticeable = Math.max(firstExcess, earlierWorkEnd);
    longestExcessNanos = Math.max(longestExcessNanos, loop.now() - noticeable);
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
    if (residual.remove(job)) {
      residualEnd = loop.now();
    }
    release();
    boolean failed = faults.failsSlowly(random, job.route, running.size(), announcement.slots());
    job.end(failed ? AttemptOutcome.FAILURE : AttemptOutcome.SUCCESS, report());
  }

  private void release() {
    warmUp();
    int limit = cold ? announcement.coldCapacity() : announcement.slots();
    while (!waiting.isEmpty() && running.size() < limit) {
      start(waiting.removeFirst());
    }
  }

  private void warmUp() {
    if (cold && --warmUpJobsLeft <= 0) {
      cold = false;
      if (announcement.state() == State.COLD) {
        announcement = announcement.withState(State.WARM);
      }
    }
  }

  /** Returns the load report that a probe receives. */
  public LoadReport currentReport() {
    return faults.lying()
        ? new LoadReport(0, 0, announcement.slots())
        : new LoadReport(running.size(), waiting.size(), announcement.slots());
  }

  private LoadReport report() {
    if (loop.now() - reportedAt > REPORT_LAG_NANOS) {
      reportedAt = loop.now();
      laggingReport = new LoadReport(running.size(), waiting.size(), announcement.slots());
    }
    return faults.lying() ? new LoadReport(0, 0, announcement.slots()) : laggingReport;
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
      if (residual.remove(this)) {
        residualEnd = loop.now();
      }
      if (running.remove(this)) {
        release();
      } else {
        waiting.remove(this);
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
