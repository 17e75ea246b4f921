package org.waxwingbeam.target.version;

import java.util.Map;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.ServiceName;

/**
 * Tells the leader of the control replicas what one entry instance has seen of a version move.
 *
 * <p>Counts are totals since the move's start, so that a lost report or a change of leader loses
 * nothing. A report may leave out keys whose counts have not changed.
 *
 * @param entry the entry instance
 * @param service the service
 * @param moveStartMs when the move was accepted; tells moves of one service apart
 * @param counts totals by key
 * @param stopReason why the entry instance has stopped the new version by itself, or empty text
 * @since 0.1.0
 */
public record SampleReport(
    InstanceName entry,
    ServiceName service,
    long moveStartMs,
    Map<SampleKey, SampleCounts> counts,
    String stopReason) {
  /** Copies the map. */
  public SampleReport {
    counts = Map.copyOf(counts);
  }
}
