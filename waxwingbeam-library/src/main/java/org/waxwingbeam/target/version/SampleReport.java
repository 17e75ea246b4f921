package org.waxwingbeam.target.version;

import java.util.Map;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.ServiceName;

/**
 * Report of one entry instance on a version move to the leader of the control replicas.
 *
 * <p>Counts are totals since the start of the move, so that no data is lost with a report or when
 * the leader changes. A report may omit keys whose counts have not changed.
 *
 * @param entry the entry instance
 * @param service the service
 * @param moveStartMs when the move was accepted; identifies the move among those of the service
 * @param counts totals by key
 * @param stopReason why the entry instance has stopped the new version on its own, or the empty
 *     string
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
