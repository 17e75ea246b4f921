package org.waxwingbeam.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.TargetId;

/** Holds what one entry instance knows of one start of a target. */
final class TargetState {
  private static final double LATENCY_DECAY_NANOS = 2e9;
  private static final double RECENT_NANOS = 2e8;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final boolean local;
  private final Deque<Long> begun = new ArrayDeque<>();
  private final TargetHealth health = new TargetHealth();
  private final ColdStart coldStart = new ColdStart();
  private final Map<InstanceName, Integer> outstandingElsewhere = new HashMap<>();
  private TargetAnnouncement announcement;
  private int[] quotas = {Integer.MAX_VALUE};
  private boolean preferred = true;
  private double latencyNanos;
  private long latencyAt = NEVER;
  private int reportedLoad;
  private long reportedAt = NEVER;

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

  /** Takes a later announcement of the same start. */
  void update(TargetAnnouncement later) {
    announcement = later;
  }

  /** Returns the requests that this entry instance has under way at the target. */
  int inFlight() {
    return begun.size();
  }

  /** Notes that an attempt has been given a place. */
  void begin(long nowNanos) {
    begun.addLast(nowNanos);
  }

  /** Notes that an attempt has given its place back. */
  void end(long begunNanos) {
    begun.removeFirstOccurrence(begunNanos);
  }

  /** Sets the part of the concurrency limit that this entry instance has, by overcommit level. */
  void setQuotas(int[] byLevel) {
    quotas = byLevel;
  }

  /** Returns how many more requests this entry instance may send at an overcommit level. */
  int free(long nowNanos, int level) {
    int quota = quotas[Math.min(level, quotas.length - 1)];
    return quota - begun.size() - health.held(nowNanos);
  }

  /** Sets whether this entry instance is one of the target's few senders. */
  void setPreferred(boolean isPreferred) {
    preferred = isPreferred;
  }

  boolean isPreferred() {
    return preferred;
  }

  /** Counts the latency of an answer. A rise counts at once, a fall over time. */
  void noteLatency(long nowNanos, double sampleNanos) {
    double weight = Math.exp(-(nowNanos - latencyAt) / LATENCY_DECAY_NANOS);
    latencyNanos =
        sampleNanos > latencyNanos
            ? sampleNanos
            : latencyNanos * weight + sampleNanos * (1 - weight);
    latencyAt = nowNanos;
  }

  /** Returns the moving average of the latency, 0 if there was no answer yet. */
  double latencyNanos() {
    return latencyNanos;
  }

  /** Notes what the target said of its load on an answer or a probe. */
  void noteReport(long nowNanos, LoadReport report) {
    reportedLoad = report.inFlight() + report.queued();
    reportedAt = nowNanos;
  }

  int reportedLoad() {
    return reportedLoad;
  }

  long reportAgeNanos(long nowNanos) {
    return nowNanos - reportedAt;
  }

  /** Notes how many requests another entry instance has under way at the target. */
  void noteElsewhere(InstanceName entry, int outstanding) {
    outstandingElsewhere.put(entry, outstanding);
  }

  /** Returns the requests under way from all entry instances, as far as known. */
  int outstandingEverywhere() {
    int sum = begun.size();
    for (int count : outstandingElsewhere.values()) {
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
   * Returns how slow the target seems: the age of its oldest request under way from here, or the
   * average latency as far as it is recent.
   */
  double slownessNanos(long nowNanos) {
    double recent = latencyNanos * Math.exp(-(nowNanos - latencyAt) / RECENT_NANOS);
    return begun.isEmpty() ? recent : Math.max(recent, (double) (nowNanos - begun.peekFirst()));
  }
}
