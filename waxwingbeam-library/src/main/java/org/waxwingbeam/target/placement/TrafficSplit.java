package org.waxwingbeam.target.placement;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.waxwingbeam.wire.feed.TargetRecord;
import org.waxwingbeam.wire.routing.ServiceMove;

/**
 * Chooses the version that serves a request of one service. Without a move, the version that most
 * targets run serves; a version that nobody has ordered gets nothing.
 */
final class TrafficSplit {
  /** Successive multiples of this are spread evenly over the unit interval. */
  private static final double GOLDEN_RATIO_PART = 0.618_033_988_749_894_9;

  private static final double PER_MILLE = 1_000;

  private double position;

  /**
   * Creates a choice.
   *
   * @param phase where the division between versions starts, from 0 to 1
   */
  TrafficSplit(double phase) {
    position = phase;
  }

  /**
   * Tells which versions may serve the next request.
   *
   * @param move the latest move of the service
   * @param targets every target of the service that takes requests
   * @param stopped whether this entry instance has stopped the new version by itself
   */
  Predicate<String> next(
      Optional<ServiceMove> move, Collection<PlacedTarget> targets, boolean stopped) {
    if (move.isEmpty()) {
      String usual = usualVersion(targets);
      return usual::equals;
    }
    String to = move.get().getTo();
    return switch (move.get().getState()) {
      case DONE -> to::equals;
      case RUNNING -> isForNew(move.get()) && !stopped ? to::equals : each -> !to.equals(each);
      default -> each -> !to.equals(each);
    };
  }

  private boolean isForNew(ServiceMove move) {
    position += GOLDEN_RATIO_PART;
    position -= Math.floor(position);
    return position < move.getSharePerMille() / PER_MILLE;
  }

  private static String usualVersion(Collection<PlacedTarget> targets) {
    Map<String, Long> counts =
        targets.stream()
            .map(PlacedTarget::record)
            .collect(Collectors.groupingBy(TargetRecord::getVersion, Collectors.counting()));
    return counts.entrySet().stream()
        .max(
            Map.Entry.<String, Long>comparingByValue()
                .thenComparing(Map.Entry.<String, Long>comparingByKey().reversed()))
        .map(Map.Entry::getKey)
        .orElse("");
  }
}
