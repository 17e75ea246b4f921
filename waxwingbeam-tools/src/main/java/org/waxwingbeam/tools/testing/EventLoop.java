package org.waxwingbeam.tools.testing;

import java.util.PriorityQueue;

/**
 * Runs tasks in the order of their times on a manual clock.
 *
 * @since 0.1.0
 */
public final class EventLoop {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowNanos;
  private long sequence;

  /** Returns the current time on the manual clock, in nanoseconds. */
  public long now() {
    return nowNanos;
  }

  /** Schedules a task for a time, or for now if that time has passed. */
  public void scheduleAt(long nanos, Runnable task) {
    events.add(new Event(Math.max(nanos, nowNanos), sequence++, task));
  }

  /** Schedules a task after a delay. */
  public void schedule(long delayNanos, Runnable task) {
    scheduleAt(nowNanos + delayNanos, task);
  }

  /** Schedules a task for now and again after each period. */
  public void scheduleAtFixedRate(long periodNanos, Runnable task) {
    scheduleAt(
        nowNanos,
        () -> {
          task.run();
          schedule(periodNanos, () -> scheduleAtFixedRate(periodNanos, task));
        });
  }

  /** Runs every task due up to a time, then sets the clock to that time. */
  public void runUntil(long nanos) {
    while (!events.isEmpty() && events.peek().nanos <= nanos) {
      Event next = events.poll();
      nowNanos = next.nanos;
      next.task.run();
    }
    nowNanos = Math.max(nowNanos, nanos);
  }

  private record Event(long nanos, long sequence, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(nanos, other.nanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
