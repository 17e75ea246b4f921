package org.waxwingbeam.target;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.version.VersionSelector;

/**
 * Gives attempts their targets at one entry instance, for all services.
 *
 * <p>Any thread may call it. Each service has a lock of its own, which is held for one decision;
 * the only lock taken within it is the registry's.
 *
 * @since 0.1.0
 */
public final class EntryDispatcher implements Dispatcher {
  private final VersionSelector versions;
  private final DispatchContext context;
  private final ConcurrentMap<Long, Attempt> attempts = new ConcurrentHashMap<>();
  private final ConcurrentMap<ServiceName, ServiceDispatcher> services = new ConcurrentHashMap<>();

  /**
   * Creates a dispatcher.
   *
   * @param registry the targets of every service
   * @param configuration gives the configuration that this entry instance applies
   * @param versions selects the version for each attempt
   * @param policy how targets are chosen
   * @param seed the seed of random choices
   */
  public EntryDispatcher(
      TargetRegistry registry,
      Supplier<Configuration> configuration,
      VersionSelector versions,
      ChoicePolicy policy,
      long seed) {
    this.versions = versions;
    this.context = new DispatchContext(registry, configuration, policy, seed, attempts);
  }

  @Override
  public Decision request(long nowNanos, DispatchRequest request) {
    Optional<VersionName> version =
        versions.select(
            nowNanos, request.service(), request.account(), request.route(), request.idempotent());
    ServiceDispatcher dispatcher =
        services.computeIfAbsent(request.service(), name -> new ServiceDispatcher(name, context));
    Attempt attempt = new Attempt(request, version, dispatcher);
    attempts.put(request.attemptId(), attempt);
    synchronized (dispatcher) {
      return dispatcher.request(attempt);
    }
  }

  @Override
  public List<Decision> complete(long nowNanos, Completion completion) {
    Attempt attempt = attempts.remove(completion.attemptId());
    if (attempt == null) {
      return List.of();
    }
    ServiceDispatcher dispatcher = attempt.dispatcher();
    synchronized (dispatcher) {
      return dispatcher.complete(attempt);
    }
  }

  @Override
  public void cancel(long nowNanos, long attemptId) {
    Attempt attempt = attempts.get(attemptId);
    if (attempt == null) {
      return;
    }
    ServiceDispatcher dispatcher = attempt.dispatcher();
    synchronized (dispatcher) {
      if (attempt.target().isEmpty()) {
        dispatcher.cancel(attempt);
        attempts.remove(attemptId);
      }
    }
  }

  @Override
  public List<Decision> tick(long nowNanos) {
    return services.values().stream().flatMap(each -> tick(nowNanos, each)).toList();
  }

  private static Stream<Decision> tick(long nowNanos, ServiceDispatcher dispatcher) {
    synchronized (dispatcher) {
      return dispatcher.isWaiting() ? dispatcher.tick(nowNanos).stream() : Stream.empty();
    }
  }
}
