package org.waxwingbeam.target;

import org.waxwingbeam.model.TargetId;

/** Holds what one entry instance knows of one start of a target. */
final class TargetState {
  private TargetAnnouncement announcement;
  private int inFlight;

  TargetState(TargetAnnouncement announcement) {
    this.announcement = announcement;
  }

  TargetAnnouncement announcement() {
    return announcement;
  }

  TargetId id() {
    return announcement.target();
  }

  /** Takes a later announcement of the same start. */
  void update(TargetAnnouncement later) {
    announcement = later;
  }

  /** Returns the requests that this entry instance has under way at the target. */
  int inFlight() {
    return inFlight;
  }

  void begin() {
    inFlight++;
  }

  void end() {
    inFlight--;
  }
}
