package org.waxwingbeam.tools.measure.versions;

/** Lists the scenarios of version moves: faults of the new version and faults around the move. */
enum MoveKind {
  GOOD("good", true),
  GOOD_COLD("good but cold", true),
  GOOD_NOISY("good, noisy neighbour", true),
  GOOD_DATA_CENTRE_LEAVES("good, data centre leaves", true),
  GOOD_LEADER_KILLED("good, leader killed", true),
  GOOD_ENTRIES_CUT_OFF("good, entries cut off", true),
  FAILS_AT_ONCE("fails at once", false),
  FAILS_LATE("fails late", false),
  SLOW_AT_ONCE("slow at once", false),
  SLOW_LATE("slow late", false),
  BAD_ABOVE_LOAD("bad only above a load", false),
  BAD_ON_ONE_ROUTE("bad on a route of 1%", false),
  CRASHES("crashes", false),
  TWO_SERVICES("bad and good service at once", false),
  BAD_LEADER_KILLED("bad, leader killed", false),
  BAD_ENTRIES_CUT_OFF("bad, entries cut off", false);

  private final String label;
  private final boolean good;

  MoveKind(String label, boolean good) {
    this.label = label;
    this.good = good;
  }

  String label() {
    return label;
  }

  boolean isGood() {
    return good;
  }
}
