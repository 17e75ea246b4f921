package org.waxwingbeam.target.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.model.VersionMove.State;
import org.waxwingbeam.operator.Change;

/**
 * Controls all unfinished version moves at the leader of the control replicas. Not thread-safe.
 *
 * <pre>{@code
 * supervisors.addReport(nowMs, report);
 * supervisors.tick(nowMs, configuration, liveEntries).forEach(this::propose);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class MoveSupervisors {
  private final Map<ServiceName, Supervised> supervised = new HashMap<>();

  private record Supervised(long startMs, MoveSupervisor supervisor) {}

  /** Adds a report of an entry instance. Does nothing if the service has no unfinished move. */
  public void addReport(long nowMs, SampleReport report) {
    Supervised known = supervised.get(report.service());
    if (known != null) {
      known.supervisor().addReport(nowMs, report);
    }
  }

  /**
   * Returns the changes that are due for the moves; must be called every {@link
   * CanaryAnalysis#TICK_MS}.
   *
   * @param nowMs the time, in milliseconds since the epoch
   * @param configuration the accepted configuration
   * @param liveEntries number of live entry instances
   */
  public List<Change> tick(long nowMs, Configuration configuration, int liveEntries) {
    List<VersionMove> moves =
        configuration.moves().values().stream()
            .filter(move -> move.state() == State.RUNNING || move.state() == State.SOAKING)
            .toList();
    supervised.keySet().retainAll(moves.stream().map(VersionMove::service).toList());
    return moves.stream()
        .map(move -> change(move, decide(nowMs, configuration, move, liveEntries)))
        .flatMap(Optional::stream)
        .toList();
  }

  /** Removes the state of all moves; must be called when this replica stops leading. */
  public void clear() {
    supervised.clear();
  }

  /** Returns why a service's move will probably not finish by its deadline, or empty. */
  public Optional<String> deadlineRisk(ServiceName service, long nowMs) {
    return Optional.ofNullable(supervised.get(service))
        .flatMap(known -> known.supervisor().deadlineRisk(nowMs));
  }

  private MoveDecision decide(
      long nowMs, Configuration configuration, VersionMove move, int liveEntries) {
    Supervised known = supervised.get(move.service());
    if (known == null || known.startMs() != move.startMs()) {
      MoveParameters parameters = MoveParameters.of(configuration, move.service());
      known = new Supervised(move.startMs(), new MoveSupervisor(move, parameters, nowMs));
      supervised.put(move.service(), known);
    }
    return known.supervisor().tick(nowMs, move, liveEntries);
  }

  private static Optional<Change> change(VersionMove move, MoveDecision decision) {
    return switch (decision) {
      case MoveDecision.NoChange noChange -> Optional.empty();
      case MoveDecision.Advance advance ->
          Optional.of(
              new Change.AdvanceMove(
                  move.service(), move.to(), advance.sharePerMille(), advance.state()));
      case MoveDecision.RollBack rollBack ->
          Optional.of(new Change.RollBackMove(move.service(), rollBack.reason()));
    };
  }
}
