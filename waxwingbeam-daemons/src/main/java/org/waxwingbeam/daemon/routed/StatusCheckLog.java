package org.waxwingbeam.daemon.routed;

import java.util.LinkedHashMap;
import java.util.Map;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.metrics.EntryMetrics;
import org.waxwingbeam.target.placement.ProbeRequest;
import org.waxwingbeam.target.placement.ProbeResult;

/** Counts status checks, and writes a line when what they find of a target has changed. */
final class StatusCheckLog {
  private static final EventLog LOG = new EventLog(StatusCheckLog.class);

  /** Targets whose last finding is remembered; a forgotten one costs a line more. */
  private static final int MAX_REMEMBERED = 4_096;

  private final EntryMetrics metrics;
  private final Map<String, String> lastFinding = new LinkedHashMap<>();

  StatusCheckLog(EntryMetrics metrics) {
    this.metrics = metrics;
  }

  /** Notes the end of a status check. */
  void note(ProbeRequest order, ProbeResult result) {
    String finding = finding(order, result);
    metrics.onStatusCheck(finding);
    String before = lastFinding.put(order.instance(), finding);
    if (!finding.equals(before == null ? "reached" : before)) {
      LOG.info(
          "target-checked",
          "target",
          order.instance(),
          "address",
          order.target(),
          "found",
          finding,
          "before",
          before,
          "answer",
          result);
    }
    if (lastFinding.size() > MAX_REMEMBERED) {
      lastFinding.remove(lastFinding.keySet().iterator().next());
    }
  }

  private static String finding(ProbeRequest order, ProbeResult result) {
    return switch (result) {
      case ProbeResult.Unreachable unreachable -> "unreachable";
      case ProbeResult.NoResponse unanswered -> "unanswered";
      case ProbeResult.Responded answered -> {
        boolean other =
            answered.instance().filter(each -> !each.equals(order.instance())).isPresent();
        yield other ? "other-identity" : answered.coldLeftMs() > 0 ? "cold" : "reached";
      }
    };
  }
}
