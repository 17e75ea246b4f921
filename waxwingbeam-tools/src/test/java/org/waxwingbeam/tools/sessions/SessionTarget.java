package org.waxwingbeam.tools.sessions;

import java.util.Locale;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.TargetAnnouncement;

/** A target with a fixed response time and a fixed outcome, which the session can change. */
final class SessionTarget {
  private static final long TIME_TO_LIVE_MS = 60_000;
  private static final int PORT = 8080;

  private final String name;
  private TargetAnnouncement announcement;
  private long responseMs;
  private AttemptOutcome outcome = AttemptOutcome.SUCCESS;

  SessionTarget(String name, int number, SessionLine line) {
    this.name = name;
    responseMs = Long.parseLong(line.option("takes", "8"));
    int slots = Integer.parseInt(line.option("slots", "4"));
    announcement =
        new TargetAnnouncement(
            new ServiceName(line.option("service", "listing")),
            new TargetId("10.9.0." + number, PORT),
            new VersionName(line.option("version", "v1")),
            new DataCentreName(line.option("data-centre", "north")),
            Long.parseLong(line.option("boot", "1")),
            slots,
            Integer.parseInt(line.option("cold-capacity", "1")),
            parseState(line.option("state", "warm")),
            TIME_TO_LIVE_MS);
  }

  private static TargetAnnouncement.State parseState(String text) {
    return TargetAnnouncement.State.valueOf(text.toUpperCase(Locale.ROOT));
  }

  String name() {
    return name;
  }

  TargetAnnouncement announcement() {
    return announcement;
  }

  void setState(String state) {
    announcement = announcement.withState(parseState(state));
  }

  /** Sets the outcome of later requests, such as {@code connection-lost}. */
  void setOutcome(String outcomeName, SessionLine line) {
    outcome = AttemptOutcome.valueOf(outcomeName.toUpperCase(Locale.ROOT).replace('-', '_'));
    responseMs = Long.parseLong(line.option("takes", "" + responseMs));
  }

  AttemptOutcome outcome() {
    return outcome;
  }

  long responseMs() {
    return responseMs;
  }
}
