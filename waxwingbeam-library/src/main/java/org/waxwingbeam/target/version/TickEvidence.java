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
final class TickEvidence {
  private final Map<InstanceName, Map<EvidenceKey, EvidenceCounts>> totals = new HashMap<>();
  private final List<Delta> deltas = new ArrayList<>();

  /** What one entry instance has newly seen for one key. */
  record Delta(EvidenceKey key, EvidenceCounts counts) {}

  void add(EvidenceReport report) {
    Map<EvidenceKey, EvidenceCounts> known =
        totals.computeIfAbsent(report.entry(), name -> new HashMap<>());
    report.counts().forEach((key, counts) -> addTotal(known, key, counts));
  }

  /** Returns what has been added since the last call. */
  List<Delta> take() {
    List<Delta> taken = List.copyOf(deltas);
    deltas.clear();
    return taken;
  }

  private void addTotal(
      Map<EvidenceKey, EvidenceCounts> known, EvidenceKey key, EvidenceCounts counts) {
    EvidenceCounts before = known.getOrDefault(key, EvidenceCounts.NONE);
    // An entry instance that restarted counts from 0 again.
    EvidenceCounts earlier = counts.ran() < before.ran() ? EvidenceCounts.NONE : before;
    known.put(key, counts);
    if (counts.ran() > earlier.ran()) {
      deltas.add(new Delta(key, counts.since(earlier)));
    }
  }
}
