package org.waxwingbeam.tools.measure.versions;

import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.target.version.MoveSelector;
import org.waxwingbeam.target.version.SampleRecorder;

/**
 * A model of an entry instance: the real selector and recorder, and a simulated link to the leader.
 */
final class ModelEntry {
  final int index;
  final int dataCentre;
  final InstanceName name;
  final MoveSelector selector;
  final SampleRecorder recorder;
  private Configuration configuration;
  double cutOffFromMs = Double.MAX_VALUE;
  double cutOffUntilMs;

  ModelEntry(int index, int entries, int dataCentres, Configuration configuration) {
    this.index = index;
    this.dataCentre = index % dataCentres;
    this.name = new InstanceName("entry-" + index);
    this.configuration = configuration;
    this.selector = new MoveSelector(() -> this.configuration, index, entries, 0);
    this.recorder = new SampleRecorder(name, () -> this.configuration, selector);
  }

  void apply(Configuration latest) {
    if (latest.number() > configuration.number()) {
      configuration = latest;
    }
  }

  Configuration configuration() {
    return configuration;
  }

  boolean isConnected(double nowMs) {
    return nowMs < cutOffFromMs || nowMs >= cutOffUntilMs;
  }
}
