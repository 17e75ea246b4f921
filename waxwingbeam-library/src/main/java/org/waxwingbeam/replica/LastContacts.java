package org.waxwingbeam.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.wire.replica.SilentVoter;

/**
 * Tracks when the other replicas were last heard of, here or by the leader, so that a new leader
 * does not wait for a voter whose silence the leader before it has observed.
 */
final class LastContacts {
  private final Map<String, Long> nanosById = new HashMap<>();

  /** Records a message from another replica. */
  void record(long nowNanos, String id) {
    nanosById.put(id, nowNanos);
  }

  /** Records what a leader has observed. It replaces all earlier observations. */
  void recordReport(long nowNanos, String leader, List<SilentVoter> silentVoters) {
    nanosById.clear();
    record(nowNanos, leader);
    silentVoters.forEach(
        each -> record(nowNanos - TimeUnit.MILLISECONDS.toNanos(each.getSilentMs()), each.getId()));
  }

  /** Returns when a replica was last heard of; the current time unless it is known to be silent. */
  long lastContactNanos(long nowNanos, String id) {
    return nanosById.getOrDefault(id, nowNanos);
  }
}
