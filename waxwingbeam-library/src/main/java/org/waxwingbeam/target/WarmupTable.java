package org.waxwingbeam.target;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.waxwingbeam.model.TargetId;

/**
 * Table of the latest {@link WarmupState} of every target. A target without a record is cold.
 *
 * <p>Thread-safe without a lock of its own.
 *
 * @since 0.1.0
 */
public final class WarmupTable {
  private final ConcurrentMap<TargetId, WarmupState> records = new ConcurrentHashMap<>();
  private final AtomicLong changeCount = new AtomicLong();
  private final Consumer<WarmupState> listener;

  /**
   * Creates an empty table.
   *
   * @param listener called with every change that this entry instance has found, in order to share
   *     it
   */
  public WarmupTable(Consumer<WarmupState> listener) {
    this.listener = listener;
  }

  /** Merges a record of another entry instance. Returns whether it replaced the known record. */
  public boolean merge(WarmupState received) {
    AtomicBoolean replaced = new AtomicBoolean();
    records.compute(
        received.target(),
        (target, known) -> {
          replaced.set(known == null || received.supersedes(known));
          return replaced.get() ? received : known;
        });
    if (replaced.get()) {
      changeCount.incrementAndGet();
    }
    return replaced.get();
  }

  /** Returns every record. */
  public Collection<WarmupState> all() {
    return List.copyOf(records.values());
  }

  /** Returns the latest record of a target. */
  public Optional<WarmupState> find(TargetId target) {
    return Optional.ofNullable(records.get(target));
  }

  /**
   * Returns whether a start of a target is warm.
   *
   * @param target the target
   * @param bootId boot id of the target's start
   * @param minConfiguration lowest number of the configuration under which it must have been found
   *     warm
   */
  boolean isWarm(TargetId target, long bootId, long minConfiguration) {
    WarmupState known = records.get(target);
    return known != null
        && known.bootId() == bootId
        && known.warm()
        && known.configurationNumber() >= minConfiguration;
  }

  /** Records a finding of this entry instance as the next generation, and calls the listener. */
  void recordFinding(TargetId target, long bootId, boolean warm, long configuration) {
    WarmupState known = records.get(target);
    boolean sameStart = known != null && known.bootId() == bootId;
    long generation = sameStart ? known.generation() + 1 : 1;
    WarmupState found = new WarmupState(target, bootId, generation, warm, configuration);
    if (merge(found)) {
      listener.accept(found);
    }
  }

  /** Returns the number of changes so far, by which readers detect a change. */
  long changeCount() {
    return changeCount.get();
  }
}
