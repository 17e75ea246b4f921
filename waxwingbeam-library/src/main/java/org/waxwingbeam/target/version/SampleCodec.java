package org.waxwingbeam.target.version;

import java.util.HashMap;
import java.util.Map;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.wire.versions.Counts;
import org.waxwingbeam.wire.versions.Evidence;

/**
 * Encodes and decodes sample reports.
 *
 * @since 0.1.0
 */
public final class SampleCodec {
  private SampleCodec() {}

  /** Encodes a report. */
  public static Evidence encode(SampleReport report) {
    Evidence.Builder message =
        Evidence.newBuilder()
            .setEntry(report.entry().value())
            .setService(report.service().value())
            .setMoveStartMs(report.moveStartMs())
            .setStopped(report.stopReason());
    report.counts().forEach((key, counts) -> message.addCounts(encoded(key, counts)));
    return message.build();
  }

  /**
   * Decodes a report.
   *
   * @throws IllegalArgumentException if a name, level, group or bucket is invalid
   */
  public static SampleReport decode(Evidence message) {
    Map<SampleKey, SampleCounts> counts = new HashMap<>();
    message.getCountsList().forEach(each -> counts.put(key(each), counts(each)));
    return new SampleReport(
        new InstanceName(message.getEntry()),
        new ServiceName(message.getService()),
        message.getMoveStartMs(),
        counts,
        message.getStopped());
  }

  private static Counts encoded(SampleKey key, SampleCounts counts) {
    Counts.Builder message =
        Counts.newBuilder()
            .setRoute(key.route().value())
            .setFresh(key.newVersion())
            .setLevel(Counts.Level.valueOf(key.level().name()))
            .setCell(key.targetGroup())
            .setRan(counts.completed())
            .setFailed(counts.failed());
    for (int bucket = 0; bucket < LatencyCounts.BUCKETS; bucket++) {
      if (counts.latencies().count(bucket) > 0) {
        message.addBuckets(bucket).addBucketCounts(counts.latencies().count(bucket));
      }
    }
    return message.build();
  }

  private static SampleKey key(Counts message) {
    if (message.getCell() < 0 || message.getCell() >= SampleKey.TARGET_GROUPS) {
      throw new IllegalArgumentException(
          "cell %d: expected 0 to %d".formatted(message.getCell(), SampleKey.TARGET_GROUPS - 1));
    }
    return new SampleKey(
        new RouteName(message.getRoute()),
        message.getFresh(),
        LoadLevel.valueOf(message.getLevel().name()),
        message.getCell());
  }

  private static SampleCounts counts(Counts message) {
    LatencyCounts latencies = new LatencyCounts();
    if (message.getBucketsCount() != message.getBucketCountsCount()) {
      throw new IllegalArgumentException(
          "latency buckets: expected as many counts as bucket numbers, found %d and %d"
              .formatted(message.getBucketCountsCount(), message.getBucketsCount()));
    }
    for (int index = 0; index < message.getBucketsCount(); index++) {
      int bucket = message.getBuckets(index);
      if (bucket < 0 || bucket >= LatencyCounts.BUCKETS) {
        throw new IllegalArgumentException(
            "latency bucket %d: expected 0 to %d".formatted(bucket, LatencyCounts.BUCKETS - 1));
      }
      latencies.add(bucket, message.getBucketCounts(index));
    }
    return new SampleCounts(message.getRan(), message.getFailed(), latencies);
  }
}
