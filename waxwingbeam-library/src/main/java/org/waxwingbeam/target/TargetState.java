package org.waxwingbeam.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.TargetId;

/** State that one entry instance keeps about one start of a target. */
final class TargetState {
  private static final double LATENCY_DECAY_NANOS = 2e9;
  private static final double RECENCY_DECAY_NANOS = 2e8;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final boolean local;
  private final Deque<Long> startNanos = new ArrayDeque<>();
  private final TargetHealth health = new TargetHealth();
  private final ColdStart coldStart = new ColdStart();
  private final Map<InstanceName, Integer> peerOutstanding = new HashMap<>();
  private TargetAnnouncement announcement;
  private int[] quotas = {Integer.MAX_VALUE};
  private boolean preferred = true;
  private double latencyNanos;
  private long latencyUpdatedNanos = NEVER;
  private int reportedLoad;
  private long reportedNanos = NEVER;

  TargetState(TargetAnnouncement announcement, boolean local) {
    this.announcement = announcement;
    this.local = local;
  }

  TargetAnnouncement announcement() {
    return announcement;
  }

  TargetId id() {
    return announcement.target();
  }

  /** Returns whether the target runs in this entry instance's data centre. */
  boolean isLocal() {
    return local;
  }

  /** Replaces the announcement by a later one of the same start. */
  void update(TargetAnnouncement later) {
    announcement = later;
  }

  /** Returns the number of outstanding requests of this entry instance at the target. */
  int inFlight() {
    return startNanos.size();
  }

  /** Records the assignment of an attempt to the target. */
  void beginAttempt(long nowNanos) {
    startNanos.addLast(nowNanos);
  }

  /** Records the end of an attempt at the target. */
  void endAttempt(long assignedNanos) {
    startNanos.removeFirstOccurrence(assignedNanos);
  }

  /** Sets this entry instance's quota by overcommit level. */
  void setQuotas(int[] byLevel) {
    quotas = byLevel;
  }

  /** Returns how many more requests this entry instance may send at an overcommit level. */
  int remainingQuota(long nowNanos, int level) {
    int quota = quotas[Math.min(level, quotas.length - 1)];
    return quota - startNanos.size() - health.countedFailures(nowNanos);
  }

  /** Sets whether this entry instance is one of the few senders that prefer the target. */
  void setPreferred(boolean isPreferred) {
    preferred = isPreferred;
  }

  boolean isPreferred() {
    return preferred;
  }

  /**
   * Records the latency of a response. The average follows a rise immediately and a fall over time.
   */
  void recordLatency(long nowNanos, double sampleNanos) {
    double weight = Math.exp(-(nowNanos - latencyUpdatedNanos) / LATENCY_DECAY_NANOS);
    latencyNanos =
        sampleNanos > latencyNanos
            ? sampleNanos
            : latencyNanos * weight + sampleNanos * (1 - weight);
    latencyUpdatedNanos = nowNanos;
  }

  /** Returns the moving average of the latency, 0 if there was no response yet. */
  double latencyNanos() {
    return latencyNanos;
  }

  /** Records the load that the target reported on a response or a status check. */
  void recordLoadReport(long nowNanos, LoadReport report) {
    reportedLoad = report.inFlight() + report.queued();
    reportedNanos = nowNanos;
  }

  int reportedLoad() {
    return reportedLoad;
  }

  long reportAgeNanos(long nowNanos) {
    return nowNanos - reportedNanos;
  }

  /** Records the outstanding requests of another entry instance at the target. */
  void recordPeerOutstanding(InstanceName entry, int outstanding) {
    peerOutstanding.put(entry, outstanding);
  }

  /** Returns the outstanding requests of all entry instances, as far as known. */
  int totalOutstanding() {
    int sum = startNanos.size();
    for (int count : peerOutstanding.values()) {
      sum += count;
    }
    return sum;
  }

  ColdStart coldStart() {
    return coldStart;
  }

  TargetHealth health() {
    return health;
  }

  /**
   * Returns an estimate of the target's current latency: the age of this entry instance's oldest
   * outstanding request, or the average latency with a weight that decays with its age, whichever
   * is greater.
   */
  double currentLatencyNanos(long nowNanos) {
    double recent =
        latencyNanos * Math.exp(-(nowNanos - latencyUpdatedNanos) / RECENCY_DECAY_NANOS);
    return startNanos.isEmpty()
        ? recent
        : Math.max(recent, (double) (nowNanos - startNanos.peekFirst()));
  }
}
