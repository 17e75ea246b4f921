package org.waxwingbeam.target.placement;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.LoadReport;

/**
 * Dependencies and settings that the placement of all services shares.
 *
 * @param instance the name of this entry instance
 * @param dataCentre the data centre of this entry instance
 * @param fleetSize returns the number of entry instances
 * @param random source of random numbers
 * @param reportsReachAll returns whether every entry instance receives the load reports of all
 *     others
 * @param probeSender sends the status checks that a request waits for
 * @param loadListener is notified of what this entry instance learns about the load of targets
 * @param checksPerSecond status checks that all entry instances together may send to one target
 * @param stoppedMoves the moves that this entry instance has stopped on its own
 * @param leaveGraceNanos time in which a target that has stated that it leaves still serves
 *     requests that no other target can serve
 * @since 0.1.0
 */
public record PlacementContext(
    String instance,
    String dataCentre,
    IntSupplier fleetSize,
    BooleanSupplier reportsReachAll,
    Consumer<ProbeRequest> probeSender,
    RandomGenerator random,
    LoadListener loadListener,
    double checksPerSecond,
    StoppedMoves stoppedMoves,
    long leaveGraceNanos) {
  /** Creates a context in which a target that leaves serves nothing more. */
  public PlacementContext(
      String instance,
      String dataCentre,
      IntSupplier fleetSize,
      BooleanSupplier reportsReachAll,
      Consumer<ProbeRequest> probeSender,
      RandomGenerator random,
      LoadListener loadListener,
      double checksPerSecond,
      StoppedMoves stoppedMoves) {
    this(
        instance,
        dataCentre,
        fleetSize,
        reportsReachAll,
        probeSender,
        random,
        loadListener,
        checksPerSecond,
        stoppedMoves,
        0);
  }

  /** Is notified of target load, so that it can be shared with the other entry instances. */
  public interface LoadListener {
    /** Called when a request is sent to a target. */
    void onRequestSent(TargetId target);

    /** Called when a target has reported its load. */
    void onReport(TargetId target, LoadReport report);

    /**
     * Called when the response to a status check says that the target is cold.
     *
     * @param coldLeftMs time until the target is warm, in milliseconds
     */
    void onColdTarget(TargetId target, int coldLeftMs);
  }
}
