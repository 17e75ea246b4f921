package org.waxwingbeam.tools.measure.versions;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in the order of their times and advances a simulated clock to each of them. */
final class EventQueue {
  private static final Comparator<Event> ORDER =
      Comparator.comparingDouble(Event::timeMs).thenComparingLong(Event::sequence);

  private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);
  private double nowMs;
  private long nextSequence;

  private record Event(double timeMs, long sequence, Runnable action) {}

  double nowMs() {
    return nowMs;
  }

  void schedule(double delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, nextSequence++, action));
  }

  void scheduleEvery(double periodMs, Runnable action) {
    schedule(
        periodMs,
        () -> {
          action.run();
          scheduleEvery(periodMs, action);
        });
  }

  void runUntil(double endMs) {
    while (!events.isEmpty() && events.peek().timeMs() <= endMs) {
      Event next = events.remove();
      nowMs = next.timeMs();
      next.action().run();
    }
  }
}
