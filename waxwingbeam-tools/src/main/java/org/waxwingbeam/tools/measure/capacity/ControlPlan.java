package org.waxwingbeam.tools.measure.capacity;

/**
 * Computes the bandwidth of the control daemons that distribute the configuration at the design
 * size: five voters, and in each data centre one relay, which feeds the entry instances there.
 *
 * @param changeBytes size of one change on the wire
 */
record ControlPlan(int changeBytes) {
  static final int VOTERS = 5;

  /** Bytes of framing and lease in each change and each lease renewal. */
  static final int FRAME_BYTES = 48;

  /** Lease renewals that each receiver is sent. */
  static final double RENEWALS_PER_S = 2;

  /** Heartbeats that the leader sends to each other voter. */
  static final double HEARTBEATS_PER_S = 4;

  /** Bytes per entry instance in the view, which is sent in full after each change of the view. */
  static final int VIEW_BYTES_PER_ENTRY = 40;

  /** Changes of the view if each entry instance leaves and returns once a day. */
  static final double VIEW_CHANGES_PER_S = 2.0 * DesignSize.ENTRIES / DesignSize.SECONDS_PER_DAY;

  /** Returns the number of control daemons: the voters and the relays. */
  int plannedInstances() {
    return VOTERS + DesignSize.DATA_CENTRES;
  }

  /** Returns the bytes a second that one relay sends to its entry instances. */
  double relayBytesPerS() {
    return perReceiverBytesPerS() * DesignSize.ENTRIES_PER_DATA_CENTRE;
  }

  /** Returns the bytes a second that the leader sends to the other voters and its relays. */
  double leaderBytesPerS() {
    int relays = Math.ceilDiv(DesignSize.DATA_CENTRES, VOTERS);
    return perReceiverBytesPerS() * (VOTERS - 1 + relays) + heartbeatBytesPerS();
  }

  /** Returns the bytes a second if the leader fed every entry instance itself. */
  double unrelayedLeaderBytesPerS() {
    return perReceiverBytesPerS() * (VOTERS - 1 + DesignSize.ENTRIES) + heartbeatBytesPerS();
  }

  private static double heartbeatBytesPerS() {
    return HEARTBEATS_PER_S * FRAME_BYTES * (VOTERS - 1);
  }

  private double perReceiverBytesPerS() {
    double changes = DesignSize.CHANGES_PER_S * (changeBytes + FRAME_BYTES);
    double views = VIEW_CHANGES_PER_S * VIEW_BYTES_PER_ENTRY * DesignSize.ENTRIES;
    return changes + views + RENEWALS_PER_S * FRAME_BYTES;
  }
}
