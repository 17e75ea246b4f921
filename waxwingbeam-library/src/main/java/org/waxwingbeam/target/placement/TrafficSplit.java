package org.waxwingbeam.target.placement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.waxwingbeam.wire.feed.TargetRecord;
import org.waxwingbeam.wire.routing.ServiceMove;

/**
 * Chooses the version that serves a request of one service. Without a move it is the version that
 * most targets run; other versions receive no requests.
 */
final class TrafficSplit {
  /** Golden ratio less 1: the fractional parts of its multiples cover the unit interval evenly. */
  private static final double GOLDEN_RATIO_FRACTION = 0.618_033_988_749_894_9;

  private static final double PER_MILLE = 1_000;

  private double position;
  private List<PlacedTarget> countedTargets = List.of();
  private String prevalent = "";

  /**
   * Creates a traffic split.
   *
   * @param phase initial position in the sequence that divides requests between versions, 0 to 1
   */
  TrafficSplit(double phase) {
    position = phase;
  }

  /**
   * Returns a predicate for the versions that may serve the next request.
   *
   * @param move the latest move of the service
   * @param targets all targets of the service that accept requests, in an immutable list
   * @param stopped whether this entry instance has stopped the move on its own
   */
  Predicate<String> nextVersions(
      Optional<ServiceMove> move, List<PlacedTarget> targets, boolean stopped) {
    if (move.isEmpty()) {
      if (targets != countedTargets) {
        countedTargets = targets;
        prevalent = prevalentVersion(targets);
      }
      return prevalent::equals;
    }
    String to = move.get().getTo();
    return switch (move.get().getState()) {
      case DONE -> to::equals;
      case RUNNING ->
          goesToNewVersion(move.get()) && !stopped ? to::equals : each -> !to.equals(each);
      default -> each -> !to.equals(each);
    };
  }

  private boolean goesToNewVersion(ServiceMove move) {
    position += GOLDEN_RATIO_FRACTION;
    position -= Math.floor(position);
    return position < move.getSharePerMille() / PER_MILLE;
  }

  private static String prevalentVersion(Collection<PlacedTarget> targets) {
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
