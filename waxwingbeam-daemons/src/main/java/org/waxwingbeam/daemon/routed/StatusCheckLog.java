package org.waxwingbeam.daemon.routed;

import java.util.LinkedHashMap;
import java.util.Map;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.metrics.EntryMetrics;
import org.waxwingbeam.target.placement.ProbeRequest;
import org.waxwingbeam.target.placement.ProbeResult;

/** Counts status checks, and logs those whose finding for a target has changed. */
final class StatusCheckLog {
  private static final EventLog LOG = new EventLog(StatusCheckLog.class);

  /** Targets whose last finding is kept; an evicted target may be logged once more. */
  private static final int MAX_REMEMBERED_TARGETS = 4_096;

  private final EntryMetrics metrics;
  private final Map<String, String> lastFinding = new LinkedHashMap<>();

  StatusCheckLog(EntryMetrics metrics) {
    this.metrics = metrics;
  }

  /** Records the result of a status check. */
  void record(ProbeRequest probe, ProbeResult result) {
    String finding = finding(probe, result);
    metrics.onStatusCheck(finding);
    String previous = lastFinding.put(probe.instance(), finding);
    if (!finding.equals(previous == null ? "reached" : previous)) {
      LOG.info(
          "target-checked",
          "target",
          probe.instance(),
          "address",
          probe.target(),
          "found",
          finding,
          "before",
          previous,
          "answer",
          result);
    }
    if (lastFinding.size() > MAX_REMEMBERED_TARGETS) {
      lastFinding.remove(lastFinding.keySet().iterator().next());
    }
  }

  private static String finding(ProbeRequest probe, ProbeResult result) {
    return switch (result) {
      case ProbeResult.Unreachable unreachable -> "unreachable";
      case ProbeResult.Unanswered unanswered -> "unanswered";
      case ProbeResult.Answered response -> {
        boolean otherIdentity =
            response.instance().filter(each -> !each.equals(probe.instance())).isPresent();
        yield otherIdentity ? "other-identity" : response.coldLeftMs() > 0 ? "cold" : "reached";
      }
    };
  }
}
