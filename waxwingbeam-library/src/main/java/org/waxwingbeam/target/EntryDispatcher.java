package org.waxwingbeam.target;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.waxwingbeam.control.LeasedEntryView;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.version.VersionSelector;

/**
 * Assigns targets to the attempts of one entry instance, for all services.
 *
 * <p>Thread-safe. Each service has a lock of its own, which is held for one decision; {@code
 * ServiceDispatcher} lists the locks that are acquired while it is held.
 *
 * @since 0.1.0
 */
public final class EntryDispatcher implements Dispatcher {
  private static final long WARM_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final VersionSelector versions;
  private final DispatchContext context;
  private volatile long lastWarmCheckNanos = Long.MIN_VALUE / 2;
  private final ConcurrentMap<Long, Attempt> attempts = new ConcurrentHashMap<>();
  private final ConcurrentMap<ServiceName, ServiceDispatcher> services = new ConcurrentHashMap<>();

  /**
   * Creates a dispatcher.
   *
   * @param settings the entry instance and its choice policy
   * @param registry the targets of every service
   * @param configuration supplies the configuration that this entry instance applies
   * @param view supplies the live entry instances
   * @param versions selects the version of the target for each attempt
   * @param warmupTable the warm-up states of the targets, shared with other entry instances
   */
  public EntryDispatcher(
      DispatchSettings settings,
      TargetRegistry registry,
      Supplier<Configuration> configuration,
      Supplier<LeasedEntryView> view,
      VersionSelector versions,
      WarmupTable warmupTable) {
    this.versions = versions;
    this.context =
        new DispatchContext(
            settings,
            registry,
            configuration,
            view,
            versions,
            warmupTable,
            new DataCentreReinstatements(),
            attempts);
  }

  @Override
  public Decision request(long nowNanos, DispatchRequest request) {
    Optional<VersionName> version = selectVersion(nowNanos, request);
    ServiceDispatcher dispatcher =
        services.computeIfAbsent(request.service(), name -> new ServiceDispatcher(name, context));
    Attempt attempt = new Attempt(request, version, dispatcher);
    attempts.put(request.attemptId(), attempt);
    synchronized (dispatcher) {
      return dispatcher.request(nowNanos, attempt);
    }
  }

  private Optional<VersionName> selectVersion(long nowNanos, DispatchRequest request) {
    return request.excluded().isEmpty()
        ? versions.select(
            nowNanos, request.service(), request.account(), request.route(), request.idempotent())
        : versions.selectRetry(nowNanos, request.service());
  }

  @Override
  public List<Decision> complete(long nowNanos, Completion completion) {
    Attempt attempt = attempts.remove(completion.attemptId());
    if (attempt == null) {
      return List.of();
    }
    ServiceDispatcher dispatcher = attempt.dispatcher();
    synchronized (dispatcher) {
      return dispatcher.complete(nowNanos, attempt, completion);
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
    context.reinstatements().update(context.configuration().get());
    if (nowNanos - lastWarmCheckNanos >= WARM_CHECK_INTERVAL_NANOS) {
      lastWarmCheckNanos = nowNanos;
      context.registry().services().forEach(each -> declarePresumedWarm(nowNanos, each));
    }
    return services.values().stream().flatMap(each -> tickIfWaiting(nowNanos, each)).toList();
  }

  /**
   * Records the response of a target to a status check.
   *
   * @param nowNanos the entry's monotonic clock
   * @param service the service of the target
   * @param target the target
   * @param report the load that it reported
   * @param latencyNanos time to the response
   */
  public void recordProbe(
      long nowNanos, ServiceName service, TargetId target, LoadReport report, long latencyNanos) {
    ServiceDispatcher dispatcher = dispatcher(service);
    synchronized (dispatcher) {
      dispatcher.recordProbe(nowNanos, target, report, latencyNanos);
    }
  }

  /**
   * Records the outstanding requests of another entry instance at each target of a service.
   *
   * @param service the service
   * @param entry the other entry instance
   * @param outstanding its outstanding requests by target
   */
  public void recordPeerOutstanding(
      ServiceName service, InstanceName entry, Map<TargetId, Integer> outstanding) {
    ServiceDispatcher dispatcher = dispatcher(service);
    synchronized (dispatcher) {
      dispatcher.recordPeerOutstanding(entry, outstanding);
    }
  }

  /**
   * Returns the number of outstanding requests of this entry instance at each target of a service.
   *
   * @param service the service
   */
  public Map<TargetId, Integer> outstanding(ServiceName service) {
    ServiceDispatcher dispatcher = dispatcher(service);
    synchronized (dispatcher) {
      return dispatcher.outstanding();
    }
  }

  private void declarePresumedWarm(long nowNanos, ServiceName service) {
    ServiceDispatcher dispatcher = dispatcher(service);
    synchronized (dispatcher) {
      dispatcher.declarePresumedWarm(nowNanos);
    }
  }

  private ServiceDispatcher dispatcher(ServiceName service) {
    return services.computeIfAbsent(service, name -> new ServiceDispatcher(name, context));
  }

  private static Stream<Decision> tickIfWaiting(long nowNanos, ServiceDispatcher dispatcher) {
    synchronized (dispatcher) {
      return dispatcher.isWaiting() ? dispatcher.tick(nowNanos).stream() : Stream.empty();
    }
  }
}
