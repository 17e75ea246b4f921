package org.waxwingbeam.target.placement;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.waxwingbeam.target.DispatchRequest;

/**
 * Requests whose target is selected once some candidates have responded to a status check. It
 * serves light and heavy loads of a fleet so large that an entry instance rarely has a recent load
 * report of any target.
 */
final class PendingSelections {
  /**
   * Longest wait for the candidates. A status check takes a few milliseconds; a candidate that
   * takes longer is not the fastest.
   */
  static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final Map<Long, Pending> byAttempt = new LinkedHashMap<>();

  /**
   * A request that waits for status checks.
   *
   * @param request the request
   * @param version accepts the versions that may serve it
   * @param awaited identities of the candidates that have not responded yet
   * @param decideNanos when a target is selected even if some have not responded
   */
  record Pending(
      DispatchRequest request, Predicate<String> version, Set<String> awaited, long decideNanos) {}

  /** Adds a request that waits for status checks of the given targets. */
  void add(
      long nowNanos,
      DispatchRequest request,
      Predicate<String> version,
      Collection<String> candidates) {
    byAttempt.put(
        request.attemptId(),
        new Pending(request, version, new HashSet<>(candidates), nowNanos + MAX_WAIT_NANOS));
  }

  /** Removes a request that no longer waits for a target. */
  void cancel(long attemptId) {
    byAttempt.remove(attemptId);
  }

  /**
   * Records the end of a status check.
   *
   * @param target the identity of the target that was checked
   * @param idle whether the target can run a request at its usual speed at once, so that no other
   *     candidate has to be awaited
   * @return the requests whose target can be selected now
   */
  List<Pending> onChecked(String target, boolean idle) {
    Optional<Long> first =
        byAttempt.values().stream()
            .filter(each -> idle && each.awaited().contains(target))
            .map(each -> each.request().attemptId())
            .findFirst();
    byAttempt.values().forEach(each -> each.awaited().remove(target));
    return take(
        each ->
            each.awaited().isEmpty()
                || first.filter(id -> id == each.request().attemptId()).isPresent());
  }

  /** Returns the requests that have waited for long enough. */
  List<Pending> takeDue(long nowNanos) {
    return take(each -> nowNanos - each.decideNanos() >= 0);
  }

  private List<Pending> take(Predicate<Pending> ready) {
    List<Pending> taken = byAttempt.values().stream().filter(ready).toList();
    taken.forEach(each -> byAttempt.remove(each.request().attemptId()));
    return taken;
  }
}
