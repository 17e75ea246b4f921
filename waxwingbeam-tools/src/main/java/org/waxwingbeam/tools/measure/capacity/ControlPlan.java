package org.waxwingbeam.tools.measure.capacity;

/**
 * Works out the messages of the control daemons that spread configuration at the target size: five
 * voters, and one relay in each data centre that feeds the entry instances there.
 *
 * @param changeBytes size of one change on the wire
 */
record ControlPlan(int changeBytes) {
  static final int VOTERS = 5;

  /** Bytes of framing and lease that each change or renewal adds. */
  static final int FRAME_BYTES = 48;

  /** Lease renewals that one receiver needs each second. */
  static final double RENEWALS_PER_S = 1;

  /** Returns the daemons that the plan sets aside. */
  int instances() {
    return VOTERS + TargetSize.DATA_CENTRES;
  }

  /** Returns the bytes a second that one relay sends to its entry instances. */
  double relayBytesPerS() {
    return perReceiverBytesPerS() * TargetSize.ENTRIES_PER_DATA_CENTRE;
  }

  /** Returns the bytes a second that the leader sends to the other voters and its relays. */
  double leaderBytesPerS() {
    int relays = Math.ceilDiv(TargetSize.DATA_CENTRES, VOTERS);
    return perReceiverBytesPerS() * (VOTERS - 1 + relays);
  }

  /** Returns the bytes a second if the leader fed every entry instance itself. */
  double unrelayedLeaderBytesPerS() {
    return perReceiverBytesPerS() * (VOTERS - 1 + TargetSize.ENTRIES);
  }

  private double perReceiverBytesPerS() {
    double changes = TargetSize.CHANGES_PER_S * (changeBytes + FRAME_BYTES);
    return changes + RENEWALS_PER_S * FRAME_BYTES;
  }
}
