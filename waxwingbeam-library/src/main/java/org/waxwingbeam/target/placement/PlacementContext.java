package org.waxwingbeam.target.placement;

import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.LoadReport;

/**
 * Holds what the placement of every service uses.
 *
 * @param dataCentre the data centre of this entry instance
 * @param fleetSize returns the number of entry instances
 * @param random spreads choices
 * @param loadListener hears what this entry instance learns of targets' load
 * @param checksPerSecond status checks that all entry instances together may send to one target
 * @param stoppedMoves the versions that this entry instance has stopped by itself
 * @since 0.1.0
 */
public record PlacementContext(
    String dataCentre,
    IntSupplier fleetSize,
    RandomGenerator random,
    LoadListener loadListener,
    double checksPerSecond,
    StoppedMoves stoppedMoves) {
  /** Hears what an entry instance learns of targets' load, to tell others. */
  public interface LoadListener {
    /** A request was sent to a target. */
    void onRequestSent(TargetId target);

    /** A target has reported its load. */
    void onReport(TargetId target, LoadReport report);

    /**
     * A target has answered a status check that it is cold.
     *
     * @param coldLeftMs for how much longer, in milliseconds
     */
    void onColdTarget(TargetId target, int coldLeftMs);
  }
}
