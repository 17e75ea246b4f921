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
 * Holds the latest {@link Warmth} of every target. A target of which nothing is known is cold.
 *
 * <p>Any thread may call it; it takes no lock.
 *
 * @since 0.1.0
 */
public final class WarmthTable {
  private final ConcurrentMap<TargetId, Warmth> records = new ConcurrentHashMap<>();
  private final AtomicLong changes = new AtomicLong();
  private final Consumer<Warmth> listener;

  /**
   * Creates an empty table.
   *
   * @param listener is told every change that was found here, to share it
   */
  public WarmthTable(Consumer<Warmth> listener) {
    this.listener = listener;
  }

  /** Takes a record from another entry instance; returns whether it replaced what was known. */
  public boolean merge(Warmth received) {
    AtomicBoolean replaced = new AtomicBoolean();
    records.compute(
        received.target(),
        (target, known) -> {
          replaced.set(known == null || received.supersedes(known));
          return replaced.get() ? received : known;
        });
    if (replaced.get()) {
      changes.incrementAndGet();
    }
    return replaced.get();
  }

  /** Returns every record. */
  public Collection<Warmth> all() {
    return List.copyOf(records.values());
  }

  /** Returns the latest record of a target. */
  public Optional<Warmth> find(TargetId target) {
    return Optional.ofNullable(records.get(target));
  }

  /**
   * Returns whether a start of a target is warm.
   *
   * @param target the target
   * @param bootId the start of its process
   * @param leastConfiguration the configuration since which it must have been found warm
   */
  boolean isWarm(TargetId target, long bootId, long leastConfiguration) {
    Warmth known = records.get(target);
    return known != null
        && known.bootId() == bootId
        && known.warm()
        && known.configuration() >= leastConfiguration;
  }

  /** Records what was found here as the next generation, and tells the listener. */
  void note(TargetId target, long bootId, boolean warm, long configuration) {
    Warmth known = records.get(target);
    boolean sameStart = known != null && known.bootId() == bootId;
    long generation = sameStart ? known.generation() + 1 : 1;
    Warmth found = new Warmth(target, bootId, generation, warm, configuration);
    if (merge(found)) {
      listener.accept(found);
    }
  }

  /** Counts the changes, so that readers see whether there was one. */
  long changes() {
    return changes.get();
  }
}
