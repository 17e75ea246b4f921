package org.waxwingbeam.tools.measure.capacity;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.TargetAnnouncement;
import org.waxwingbeam.target.TargetRegistry;

/** Measures the heap and the processor time of announcements at an entry instance. */
final class AnnouncementCost {
  private static final List<Integer> TARGETS = List.of(2_200, 11_000, 22_000, 44_000);
  private static final int FIRST_PORT = 1_024;
  private static final int PORTS_PER_HOST = 32;
  private static final int SLOTS = 4;
  private static final int TIME_TO_LIVE_MS = 5_000;
  private static final int TIMED_ROUNDS = 5;

  /** Returns the heap of a target registry, by the number of targets. */
  Slope heapBytes() {
    return slope(
        "announcements, heap bytes by targets",
        targets -> HeapMeter.retainedBytes(() -> filledRegistry(targets)));
  }

  /** Returns the processor time of one repeated announcement. */
  Slope repeatedAnnouncementMicros() {
    return slope("announcement, microseconds to repeat by targets", this::microsPerRepetition);
  }

  private static Slope slope(String costName, IntToDoubleFunction cost) {
    return Slope.fit(
        costName,
        TARGETS.stream()
            .map(targets -> new Slope.Point(targets, cost.applyAsDouble(targets)))
            .toList());
  }

  private double microsPerRepetition(int targets) {
    TargetRegistry registry = filledRegistry(targets);
    List<TargetAnnouncement> announcements = announcements(targets);
    long startNanos = System.nanoTime();
    IntStream.rangeClosed(1, TIMED_ROUNDS)
        .forEach(round -> announcements.forEach(each -> registry.announce(round, each)));
    long elapsedNanos = System.nanoTime() - startNanos;
    long repetitions = (long) targets * TIMED_ROUNDS;
    return (double) elapsedNanos / TimeUnit.MICROSECONDS.toNanos(1) / repetitions;
  }

  private static TargetRegistry filledRegistry(int targets) {
    TargetRegistry registry = new TargetRegistry();
    announcements(targets).forEach(each -> registry.announce(0, each));
    return registry;
  }

  private static List<TargetAnnouncement> announcements(int targets) {
    int perService = DesignSize.TARGETS / DesignSize.SERVICES;
    return IntStream.range(0, targets)
        .mapToObj(index -> announcement(index, index / perService))
        .toList();
  }

  private static TargetAnnouncement announcement(int index, int service) {
    int host = index / PORTS_PER_HOST;
    return new TargetAnnouncement(
        new ServiceName("service-" + service),
        new TargetId(
            "10." + host / 65_536 + "." + host / 256 % 256 + "." + host % 256,
            FIRST_PORT + index % PORTS_PER_HOST),
        new VersionName("v1"),
        new DataCentreName("dc-" + index % DesignSize.DATA_CENTRES),
        1,
        SLOTS,
        1,
        TargetAnnouncement.State.WARM,
        TIME_TO_LIVE_MS);
  }
}
