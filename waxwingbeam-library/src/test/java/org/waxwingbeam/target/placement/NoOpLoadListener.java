package org.waxwingbeam.target.placement;

import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.LoadReport;

/** Ignores what an entry instance learns about the load of targets. */
final class NoOpLoadListener implements PlacementContext.LoadListener {
  @Override
  public void onRequestSent(TargetId target) {}

  @Override
  public void onReport(TargetId target, LoadReport report) {}

  @Override
  public void onColdTarget(TargetId target, int coldLeftMs) {}
}
