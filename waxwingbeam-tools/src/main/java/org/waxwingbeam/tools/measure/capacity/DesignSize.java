package org.waxwingbeam.tools.measure.capacity;

/** Lists the size that the system is designed for and the resource budgets at that size. */
final class DesignSize {
  static final int SERVICES = 3_500;
  static final int TARGETS = 22_000;
  static final int DATA_CENTRES = 36;
  static final int CONTROL_INSTANCES = 55;
  static final int CHANGES_PER_DAY = 38_000;
  static final double REQUESTS_PER_S = 8.1e6;

  /** Client accounts, assumed to be two for each service. */
  static final int ACCOUNTS = 7_000;

  /** Planned throughput of one entry instance. */
  static final double REQUESTS_PER_ENTRY_PER_S = 20_000;

  static final int ENTRIES = (int) Math.ceil(REQUESTS_PER_S / REQUESTS_PER_ENTRY_PER_S);
  static final int ENTRIES_PER_DATA_CENTRE = Math.ceilDiv(ENTRIES, DATA_CENTRES);
  static final int SECONDS_PER_DAY = 86_400;
  static final double CHANGES_PER_S = (double) CHANGES_PER_DAY / SECONDS_PER_DAY;

  static final double CONTROL_CORE_SHARE = 0.046;
  static final long CONTROL_MEMORY_BYTES = 128L << 20;
  static final double CONTROL_BYTES_PER_S = 4_096;

  private DesignSize() {}
}
