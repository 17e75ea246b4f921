package org.waxwingbeam.target.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.waxwingbeam.model.InstanceName;

/**
 * Converts the totals that entry instances report into differences per interval. Not thread-safe.
 */
final class SampleDeltas {
  private final Map<InstanceName, Map<SampleKey, SampleCounts>> totals = new HashMap<>();
  private final List<Delta> deltas = new ArrayList<>();

  /** The counts that one entry instance has added for one key. */
  record Delta(SampleKey key, SampleCounts counts) {}

  void add(SampleReport report) {
    Map<SampleKey, SampleCounts> known =
        totals.computeIfAbsent(report.entry(), name -> new HashMap<>());
    report.counts().forEach((key, counts) -> addTotal(known, key, counts));
  }

  /** Returns the differences since the last call. */
  List<Delta> drain() {
    List<Delta> drained = List.copyOf(deltas);
    deltas.clear();
    return drained;
  }

  private void addTotal(Map<SampleKey, SampleCounts> known, SampleKey key, SampleCounts counts) {
    SampleCounts previous = known.getOrDefault(key, SampleCounts.NONE);
    // After a restart, an entry instance counts from 0 again.
    SampleCounts earlier = counts.completed() < previous.completed() ? SampleCounts.NONE : previous;
    known.put(key, counts);
    if (counts.completed() > earlier.completed()) {
      deltas.add(new Delta(key, counts.since(earlier)));
    }
  }
}
