package org.waxwingbeam.tools.testing.replica;

/**
 * A core under series of faults with calm between them, in which it must have a leader in time that
 * accepts changes, must not have lost any, and must have its voters again.
 */
final class FaultSeries {
  private static final int MAX_ROUNDS = 4;
  private static final int MAX_ROUND_MS = 12_000;
  private static final int MAX_MEAN_INTERVAL_MS = 3_000;
  private static final long FAULTS_END_MS = 60_000;
  private static final long ACKNOWLEDGE_MS = 4_000;
  private static final long STABLE_MS = 1_500;

  private final CoreGroup group;
  private final CoreFaults faults;
  private final Bounds bounds;

  /**
   * Times from the end of the last fault.
   *
   * @param leaderMs until there is a leader
   * @param votersMs until the running replicas are the voters
   */
  private record Bounds(long leaderMs, long votersMs) {
    static Bounds of(CoreFaults.Limit limit) {
      return switch (limit) {
        case TOLERANCE -> new Bounds(3_000, 2 * CoreProcess.CATCH_UP_MS);
        case TWO_DISKS -> new Bounds(15_000, 15_000 + 3 * CoreProcess.CATCH_UP_MS);
      };
    }
  }

  FaultSeries(long seed, CoreFaults.Limit limit) {
    group = new CoreGroup(seed);
    faults = new CoreFaults(group, limit);
    bounds = Bounds.of(limit);
  }

  /** Runs some rounds of faults and calm. */
  void run() {
    try {
      int rounds = 1 + group.random().nextInt(MAX_ROUNDS);
      for (int i = 0; i < rounds; i++) {
        runFaults();
        checkCalm();
      }
    } catch (RuntimeException violation) {
      throw new IllegalStateException(
          "%s%nfaults:%n  %s".formatted(violation, faults.history()), violation);
    }
  }

  private void runFaults() {
    faults.begin();
    long end = group.nowMs() + 1 + group.random().nextInt(MAX_ROUND_MS);
    int meanIntervalMs = 50 + group.random().nextInt(MAX_MEAN_INTERVAL_MS);
    while (group.nowMs() < end) {
      faults.inject(meanIntervalMs);
      group.step();
    }
    group.await(
        FAULTS_END_MS,
        "end of the faults",
        () -> {
          faults.runEvents();
          return faults.areOver() && group.areAllWell();
        });
  }

  private void checkCalm() {
    final long calmMs = group.nowMs();
    group.await(bounds.leaderMs(), "leader", () -> group.leader().isPresent());
    group.checkNothingLost();
    int before = group.acknowledgedCount();
    group.await(ACKNOWLEDGE_MS, "acknowledged change", () -> group.acknowledgedCount() > before);
    long passedMs = group.nowMs() - calmMs;
    group.await(bounds.votersMs() - passedMs, "voters", group::hasSettled);
    group.run(STABLE_MS);
    InvariantViolation.check(
        group.leader().isPresent(), () -> "no leader after " + group.describe());
  }
}
