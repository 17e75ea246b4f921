package org.waxwingbeam.daemon.routed;

import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.wire.feed.TargetLoad;

/** Converts what entry instances tell each other of the load of a target to its wire form. */
final class TargetLoadCodec {
  private TargetLoadCodec() {}

  private static TargetLoad.Builder loadOf(TargetId target) {
    return TargetLoad.newBuilder().setHost(target.host()).setPort(target.port());
  }

  static TargetLoad requestSent(TargetId target) {
    return loadOf(target).setBegun(1).build();
  }

  static TargetLoad cold(TargetId target, int coldLeftMs) {
    return loadOf(target).setColdLeftMs(coldLeftMs).build();
  }

  static TargetLoad report(TargetId target, LoadReport report) {
    return loadOf(target)
        .setRunning(report.inFlight())
        .setWaiting(report.queued())
        .setSlots(report.slots())
        .setSlownessPercent(report.slownessPercent())
        .build();
  }

  static LoadReport toLoadReport(TargetLoad load) {
    return new LoadReport(
        load.getRunning(), load.getWaiting(), load.getSlots(), load.getSlownessPercent());
  }
}
