package org.waxwingbeam.tools.testing;

import java.util.concurrent.TimeUnit;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.control.LeasedEntryView;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.target.ChoicePolicy;
import org.waxwingbeam.target.DispatchSettings;
import org.waxwingbeam.target.EntryDispatcher;
import org.waxwingbeam.target.TargetRegistry;
import org.waxwingbeam.target.WarmupState;
import org.waxwingbeam.target.WarmupTable;
import org.waxwingbeam.target.version.VersionSelector;

/**
 * The state of one simulated entry: known targets, warm-up states, configuration, entry view and
 * lease.
 */
final class FleetMember {
  /** How long a lease is valid after its last renewal. */
  static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private static final long HANDOVER_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long NOT_PARTITIONED = Long.MAX_VALUE;

  private final EventLoop loop;
  private final EntryView.Member identity;
  private final TargetRegistry registry = new TargetRegistry();
  private final WarmupTable warmup;
  private final EntryDispatcher dispatcher;
  private EntryView view;
  private long viewExclusiveFromNanos;
  private long partitionedAtNanos = NOT_PARTITIONED;
  private Configuration configuration = Configuration.EMPTY;

  FleetMember(SimulatedFleet fleet, EntryView.Member identity, ChoicePolicy policy, long seed) {
    this.loop = fleet.loop();
    this.identity = identity;
    this.view = EntryView.EMPTY;
    this.warmup = new WarmupTable(state -> fleet.shareWarmup(this, state));
    this.dispatcher =
        new EntryDispatcher(
            new DispatchSettings(
                identity.name(), identity.dataCentre(), policy, HANDOVER_NANOS, seed),
            registry,
            () -> configuration,
            this::leasedView,
            VersionSelector.ANY,
            warmup);
  }

  EntryView.Member identity() {
    return identity;
  }

  TargetRegistry registry() {
    return registry;
  }

  EntryDispatcher dispatcher() {
    return dispatcher;
  }

  WarmupTable warmup() {
    return warmup;
  }

  boolean isPartitioned() {
    return partitionedAtNanos != NOT_PARTITIONED;
  }

  /** Partitions the entry from the control replicas and the other entries, or reconnects it. */
  void setPartitioned(boolean partitioned) {
    partitionedAtNanos = partitioned ? loop.now() : NOT_PARTITIONED;
  }

  /** Returns whether its lease is valid and its data centre is not out in its configuration. */
  boolean acceptsRequests() {
    boolean leaseHolds = !isPartitioned() || loop.now() < partitionedAtNanos + LEASE_NANOS;
    return leaseHolds && !configuration.dataCentresOut().contains(identity.dataCentre());
  }

  void applyView(EntryView next, long exclusiveFromNanos) {
    view = next;
    viewExclusiveFromNanos = exclusiveFromNanos;
  }

  void applyConfiguration(Configuration next) {
    configuration = next.number() > configuration.number() ? next : configuration;
  }

  void mergeWarmup(WarmupState state) {
    warmup.merge(state);
  }

  private LeasedEntryView leasedView() {
    long renewedAt = isPartitioned() ? partitionedAtNanos : loop.now();
    return new LeasedEntryView(view, viewExclusiveFromNanos, renewedAt + LEASE_NANOS);
  }
}
