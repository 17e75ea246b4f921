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
 * Stands in for a target: slots, a queue, noisy neighbours, cold starts, faults and reports that
 * lag or lie.
 *
 * @since 0.1.0
 */
public final class SimulatedTarget {
  /** Mean service time of a warm target on a quiet machine. */
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

  /** Returns what the target says of itself. */
  public TargetAnnouncement announcement() {
    return announcement;
  }

  /** Returns whether its process runs. */
  public boolean isUp() {
    return up;
  }

  /** Returns whether it can carry only its cold capacity. */
  public boolean isCold() {
    return cold;
  }

  /** Returns the requests that were begun. */
  public long served() {
    return served;
  }

  /** Returns when a request was last begun, in nanoseconds. */
  public long lastStart() {
    return lastStart;
  }

  /** Returns the most requests that were under way at once while it was cold. */
  public int mostRunningCold() {
    return mostRunningCold;
  }

  /** Returns how many requests were begun above the cold capacity. */
  public int coldExcesses() {
    return coldExcesses;
  }

  /**
   * Returns the longest time to a request above the cold capacity from the first such request, or
   * from the end of the last one that was under way when the target turned cold.
   */
  public long longestExcessNanos() {
    return longestExcessNanos;
  }

  /** Puts faults in force. */
  public void breakDown(TargetFaults next) {
    faults = next;
  }

  /** Says that it is draining. */
  public void drain() {
    announcement = announcement.withState(State.DRAINING);
  }

  /** Ends its process; everything under way there is lost. */
  public void stop() {
    up = false;
    List<Job> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    lost.forEach(job -> job.end(AttemptOutcome.CONNECTION_LOST, report()));
  }

  /** Starts its process anew, cold, with the next boot id; it takes no requests yet. */
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

  /** Begins to take requests. */
  public void open() {
    up = true;
  }

  /** Loses what makes it warm, without a word to anyone. */
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
   * Takes a request.
   *
   * @param route the request's route, on which faults may depend
   * @param receiver called once with the end of the request, unless it is cancelled
   * @return the request, to cancel it
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

  /** Returns what a probe learns of its load. */
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
   * Tells how a request ended at the target.
   *
   * @param outcome how it ended
   * @param report what the target says of its load
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

    /** Stops the request; its receiver hears nothing more. */
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
