package org.waxwingbeam.caller.net;

import org.waxwingbeam.caller.Classification;
import org.waxwingbeam.caller.RequestClassifier;
import org.waxwingbeam.caller.RequestRouter;
import org.waxwingbeam.control.AppliedConfiguration;
import org.waxwingbeam.model.Configuration;

/**
 * Caches the classifier of the applied configuration and recompiles it when the configuration
 * changes.
 *
 * @since 0.1.0
 */
public final class ClassifierCache implements RequestRouter {
  private final AppliedConfiguration applied;
  private volatile RequestClassifier compiled = new RequestClassifier(Configuration.EMPTY);

  /** Creates a cache for the applied configuration of an entry instance. */
  public ClassifierCache(AppliedConfiguration applied) {
    this.applied = applied;
  }

  @Override
  public Classification classify(String method, String host, String uri) {
    return currentClassifier().classify(method, host, uri);
  }

  @Override
  public long version() {
    return applied.current().number();
  }

  /** Returns the classifier of the currently applied configuration. */
  public RequestClassifier currentClassifier() {
    Configuration configuration = applied.current();
    RequestClassifier found = compiled;
    return found.number() == configuration.number() ? found : compile(configuration);
  }

  // Lock order: this lock is a leaf; no other lock is taken while it is held.
  private synchronized RequestClassifier compile(Configuration configuration) {
    if (compiled.number() < configuration.number()) {
      compiled = new RequestClassifier(configuration);
    }
    return compiled;
  }
}
