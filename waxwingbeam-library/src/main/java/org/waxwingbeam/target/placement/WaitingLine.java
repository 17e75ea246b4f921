package org.waxwingbeam.target.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.waxwingbeam.target.DispatchRequest;

/**
 * The requests of one service that wait for room at this entry instance: the most urgent rank
 * first, and within a rank those that arrived first. The wait of each is bounded by its
 * response-time goal, so that what has no chance is refused while its caller can still do something
 * else.
 */
final class WaitingLine {
  /** Part of the time to the response-time goal that a request may wait. */
  private static final double WAITING_PART = 0.4;

  /** Weight of the newest interval between two departures. */
  private static final double INTERVAL_WEIGHT = 0.2;

  private final List<Waiting> waiting = new ArrayList<>();
  private double departureIntervalNanos;
  private long lastDepartureNanos;

  /**
   * A request that waits.
   *
   * @param request the request
   * @param untilNanos when it has waited long enough
   */
  record Waiting(DispatchRequest request, long untilNanos) {}

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /**
   * Adds a request, unless it would probably not leave the line in time.
   *
   * @return whether it was added
   */
  boolean add(long nowNanos, DispatchRequest request) {
    long goalNanos = Math.min(request.goalNanos(), request.deadlineNanos()) - nowNanos;
    long allowedNanos = (long) (goalNanos * WAITING_PART);
    long ahead =
        waiting.stream().filter(each -> each.request().shedRank() <= request.shedRank()).count();
    if (allowedNanos <= 0 || ahead * departureIntervalNanos > allowedNanos) {
      return false;
    }
    waiting.add(new Waiting(request, nowNanos + allowedNanos));
    waiting.sort(Comparator.comparingInt(each -> each.request().shedRank()));
    return true;
  }

  /** Returns the requests in the order in which they leave. */
  List<Waiting> inOrder() {
    return List.copyOf(waiting);
  }

  /** Notes that a request has left for a target. */
  void depart(long nowNanos, Waiting leaving) {
    waiting.remove(leaving);
    long interval = lastDepartureNanos == 0 ? 0 : nowNanos - lastDepartureNanos;
    lastDepartureNanos = nowNanos;
    departureIntervalNanos += INTERVAL_WEIGHT * (interval - departureIntervalNanos);
  }

  /** Forgets a request. */
  void remove(long attemptId) {
    removeIf(each -> each.request().attemptId() == attemptId);
    if (waiting.isEmpty()) {
      // A pause says nothing of the rate at which requests leave.
      lastDepartureNanos = 0;
    }
  }

  private void removeIf(Predicate<Waiting> condition) {
    waiting.removeIf(condition);
  }

  /** Returns and forgets the requests that have waited long enough. */
  Stream<Waiting> takeOverdue(long nowNanos) {
    List<Waiting> overdue =
        waiting.stream().filter(each -> nowNanos - each.untilNanos() >= 0).toList();
    waiting.removeAll(overdue);
    return overdue.stream();
  }
}
