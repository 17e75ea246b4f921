package org.waxwingbeam.tools.sessions;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of their times; tasks of equal time run in the order of scheduling. */
final class SessionClock {
  private static final long NANOS_PER_MS = 1_000_000;

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::sequence));
  private long nowMs;
  private long sequence;

  private record Task(long atMs, long sequence, Runnable action) {}

  long nowMs() {
    return nowMs;
  }

  long nowNanos() {
    return nowMs * NANOS_PER_MS;
  }

  void scheduleAt(long atMs, Runnable action) {
    tasks.add(new Task(Math.max(atMs, nowMs), sequence++, action));
  }

  void scheduleAfter(long delayMs, Runnable action) {
    scheduleAt(nowMs + delayMs, action);
  }

  /** Runs every task up to a time, and sets the clock to that time. */
  void runUntil(long endMs) {
    while (!tasks.isEmpty() && tasks.peek().atMs() <= endMs) {
      Task task = tasks.poll();
      nowMs = task.atMs();
      task.action().run();
    }
    nowMs = endMs;
  }
}
