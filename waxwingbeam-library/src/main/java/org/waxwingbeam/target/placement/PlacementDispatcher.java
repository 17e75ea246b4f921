package org.waxwingbeam.target.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.Dispatcher;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.target.TargetNotice;
import org.waxwingbeam.wire.feed.TargetRecord;
import org.waxwingbeam.wire.feed.VersionEvidence;
import org.waxwingbeam.wire.routing.RoutingState;

/**
 * Assigns each attempt to the target with the lowest predicted response time, for all services.
 *
 * <pre>{@code
 * PlacementDispatcher dispatcher = new PlacementDispatcher(context);
 * dispatcher.configure(state);
 * dispatcher.update(nowNanos, record);
 * Decision decision = dispatcher.request(nowNanos, request);
 * }</pre>
 *
 * <p>Not thread-safe.
 *
 * @since 0.1.0
 */
public final class PlacementDispatcher implements Dispatcher {
  private final PlacementContext context;
  private final Map<String, ServicePlacement> services = new HashMap<>();
  private final Map<String, String> serviceByTarget = new HashMap<>();
  private final Map<Long, DispatchRequest> inFlight = new HashMap<>();
  private RoutingState state = RoutingState.getDefaultInstance();

  /**
   * Creates a dispatcher without targets.
   *
   * @param context dependencies shared by the placement of all services
   */
  public PlacementDispatcher(PlacementContext context) {
    this.context = context;
  }

  /** Applies the routing state that operators have set. */
  public void configure(RoutingState newState) {
    state = newState;
    services.forEach((name, placement) -> placement.configure(name, newState));
  }

  /**
   * Applies an announcement of a target.
   *
   * @param nowNanos the current time
   * @param record the announcement
   */
  public void update(long nowNanos, TargetRecord record) {
    String previousService = serviceByTarget.put(record.getId(), record.getService());
    if (previousService != null && !previousService.equals(record.getService())) {
      service(previousService)
          .update(nowNanos, record.toBuilder().setState(TargetRecord.State.GONE).build());
    }
    service(record.getService()).update(nowNanos, record);
    if (record.getState() == TargetRecord.State.GONE) {
      serviceByTarget.remove(record.getId());
    }
  }

  /**
   * Applies a load report that another entry instance has received.
   *
   * @param reportNanos when the target created the report
   */
  public void applyReport(long reportNanos, TargetId target, LoadReport report) {
    services.values().forEach(each -> each.applyReport(reportNanos, target, report));
  }

  /**
   * Adds requests that another entry instance has sent to a target.
   *
   * @param nowNanos the current time
   */
  public void addRemoteRequests(long nowNanos, TargetId target, int requests) {
    services.values().forEach(each -> each.addRemoteRequests(nowNanos, target, requests));
  }

  /**
   * Marks a target as cold, as found by another entry instance.
   *
   * @param nowNanos the current time
   */
  public void markCold(long nowNanos, TargetId target, int coldLeftMs) {
    services.values().forEach(each -> each.markCold(nowNanos, target, coldLeftMs));
  }

  /**
   * Returns the status checks that this entry instance is to send now, and marks them as sent. The
   * result of each must be passed to {@link #completeProbe}.
   *
   * @param nowNanos the current time
   * @param assignment the order in which the entry instances check each target
   */
  public List<ProbeRequest> startDueProbes(long nowNanos, ProbeAssignment assignment) {
    return services.values().stream()
        .flatMap(each -> each.startDueProbes(nowNanos, assignment).stream())
        .toList();
  }

  /**
   * Records the result of a status check.
   *
   * @param nowNanos the current time
   * @return decisions for requests that waited for it
   */
  public List<Decision> completeProbe(long nowNanos, ProbeRequest probe, ProbeResult result) {
    return forgetRefused(
        services.values().stream()
            .flatMap(each -> each.completeProbe(nowNanos, probe, result).stream())
            .toList());
  }

  @Override
  public void applyNotice(
      long nowNanos, TargetId target, Optional<String> instance, TargetNotice notice) {
    services.values().forEach(each -> each.notices().apply(nowNanos, target, instance, notice));
  }

  @Override
  public boolean maySend(long nowNanos, TargetId target, Optional<String> instance) {
    return services.values().stream()
        .allMatch(each -> each.notices().maySend(nowNanos, target, instance));
  }

  private List<Decision> forgetRefused(List<Decision> decisions) {
    decisions.stream()
        .filter(Decision.Refused.class::isInstance)
        .forEach(each -> inFlight.remove(each.attemptId()));
    return decisions;
  }

  private ServicePlacement service(String name) {
    return services.computeIfAbsent(
        name,
        key -> {
          ServicePlacement created = new ServicePlacement(context);
          created.configure(key, state);
          return created;
        });
  }

  @Override
  public Decision request(long nowNanos, DispatchRequest request) {
    if (nowNanos - request.deadlineNanos() >= 0) {
      return new Decision.Refused(request.attemptId(), ErrorKind.DEADLINE_BEFORE_START, 0);
    }
    inFlight.put(request.attemptId(), request);
    Decision decision = service(request.service().value()).request(nowNanos, request);
    return forgetRefused(List.of(decision)).getFirst();
  }

  @Override
  public List<Decision> complete(long nowNanos, Completion completion) {
    DispatchRequest request = inFlight.remove(completion.attemptId());
    if (request == null) {
      return List.of();
    }
    service(request.service().value()).complete(nowNanos, request, completion);
    return List.of();
  }

  @Override
  public void cancel(long nowNanos, long attemptId) {
    DispatchRequest request = inFlight.remove(attemptId);
    if (request != null) {
      service(request.service().value()).cancel(attemptId);
    }
  }

  @Override
  public List<Decision> tick(long nowNanos) {
    return forgetRefused(
        services.values().stream().flatMap(each -> each.tick(nowNanos).stream()).toList());
  }

  /**
   * Returns the counts of the running version moves for which a report is due.
   *
   * @param nowNanos the current time
   */
  public List<VersionEvidence> reportSamples(long nowNanos) {
    return services.values().stream()
        .map(each -> each.reportSamples(nowNanos))
        .flatMap(Optional::stream)
        .toList();
  }

  /** Returns the number of targets of a service that accept requests. */
  public long readyTargetCount(String service) {
    return services.containsKey(service) ? services.get(service).readyTargetCount() : 0;
  }
}
