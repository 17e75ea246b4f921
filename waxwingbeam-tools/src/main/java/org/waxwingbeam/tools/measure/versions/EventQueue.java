package org.waxwingbeam.tools.measure.versions;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in the order of their times, on a clock that they move. */
final class EventQueue {
  private static final Comparator<Event> ORDER =
      Comparator.comparingDouble(Event::timeMs).thenComparingLong(Event::number);

  private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);
  private double nowMs;
  private long numbers;

  private record Event(double timeMs, long number, Runnable action) {}

  double nowMs() {
    return nowMs;
  }

  void after(double delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, numbers++, action));
  }

  void every(double periodMs, Runnable action) {
    after(
        periodMs,
        () -> {
          action.run();
          every(periodMs, action);
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
