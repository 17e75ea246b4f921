package org.waxwingbeam.target.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.waxwingbeam.model.InstanceName;

/**
 * Turns the entry instances' totals into what is new since the last interval. Not safe for use by
 * several threads.
 */
final class SampleDeltas {
  private final Map<InstanceName, Map<SampleKey, SampleCounts>> totals = new HashMap<>();
  private final List<Delta> deltas = new ArrayList<>();

  /** What one entry instance has newly seen for one key. */
  record Delta(SampleKey key, SampleCounts counts) {}

  void add(SampleReport report) {
    Map<SampleKey, SampleCounts> known =
        totals.computeIfAbsent(report.entry(), name -> new HashMap<>());
    report.counts().forEach((key, counts) -> addTotal(known, key, counts));
  }

  /** Returns what has been added since the last call. */
  List<Delta> take() {
    List<Delta> taken = List.copyOf(deltas);
    deltas.clear();
    return taken;
  }

  private void addTotal(Map<SampleKey, SampleCounts> known, SampleKey key, SampleCounts counts) {
    SampleCounts before = known.getOrDefault(key, SampleCounts.NONE);
    // An entry instance that restarted counts from 0 again.
    SampleCounts earlier = counts.completed() < before.completed() ? SampleCounts.NONE : before;
    known.put(key, counts);
    if (counts.completed() > earlier.completed()) {
      deltas.add(new Delta(key, counts.since(earlier)));
    }
  }
}
