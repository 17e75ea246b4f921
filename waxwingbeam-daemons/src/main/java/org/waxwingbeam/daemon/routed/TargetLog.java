package org.waxwingbeam.daemon.routed;

import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.wire.feed.TargetRecord;

/** Logs the changes that targets report of their own state. */
final class TargetLog {
  private static final EventLog LOG = new EventLog(TargetLog.class);

  private TargetLog() {}

  static void logChange(TargetRecord record) {
    LOG.info(
        "target-changed",
        "target",
        record.getId(),
        "address",
        record.getHost() + ":" + record.getPort(),
        "service",
        record.getService(),
        "version",
        record.getVersion(),
        "data_centre",
        record.getDataCentre(),
        "state",
        record.getState(),
        "report",
        record.getReport(),
        "started_ms",
        record.getStartedMs(),
        "cold_left_ms",
        record.getColdLeftMs());
  }
}
