package org.waxwingbeam.control;

import java.util.concurrent.atomic.AtomicReference;
import org.waxwingbeam.model.Configuration;

/**
 * Holds the configuration that an entry instance applies; never replaces it by an older one.
 *
 * <pre>{@code
 * AppliedConfiguration applied = new AppliedConfiguration();
 * applied.applyIfNewer(received);
 * Configuration configuration = applied.current();
 * }</pre>
 *
 * @since 0.1.0
 */
public final class AppliedConfiguration {
  private final AtomicReference<Configuration> current = new AtomicReference<>(Configuration.EMPTY);

  /** Returns the configuration that was applied last. */
  public Configuration current() {
    return current.get();
  }

  /**
   * Applies a configuration if its number is higher than the current one's.
   *
   * @return whether it was applied
   */
  public boolean applyIfNewer(Configuration configuration) {
    Configuration before =
        current.getAndUpdate(old -> configuration.number() > old.number() ? configuration : old);
    return configuration.number() > before.number();
  }
}
