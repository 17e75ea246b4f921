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
import org.waxwingbeam.wire.feed.TargetRecord;
import org.waxwingbeam.wire.feed.VersionEvidence;
import org.waxwingbeam.wire.routing.RoutingState;

/**
 * Gives attempts the targets that will probably answer soonest, for all services.
 *
 * <pre>{@code
 * PlacementDispatcher dispatcher = new PlacementDispatcher(context);
 * dispatcher.configure(state);
 * dispatcher.update(nowNanos, record);
 * Decision decision = dispatcher.request(nowNanos, request);
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1.0
 */
public final class PlacementDispatcher implements Dispatcher {
  private final PlacementContext context;
  private final Map<String, ServicePlacement> services = new HashMap<>();
  private final Map<String, String> serviceByTarget = new HashMap<>();
  private final Map<Long, DispatchRequest> underWay = new HashMap<>();
  private RoutingState state = RoutingState.getDefaultInstance();

  /**
   * Creates a dispatcher that knows no target.
   *
   * @param context what the placement of every service uses
   */
  public PlacementDispatcher(PlacementContext context) {
    this.context = context;
  }

  /** Takes in what operators have ordered. */
  public void configure(RoutingState ordered) {
    state = ordered;
    services.forEach((name, placement) -> placement.configure(name, ordered));
  }

  /**
   * Takes in what a target has said of itself.
   *
   * @param nowNanos the present time
   * @param record what it has said
   */
  public void update(long nowNanos, TargetRecord record) {
    String before = serviceByTarget.put(record.getId(), record.getService());
    if (before != null && !before.equals(record.getService())) {
      service(before)
          .update(nowNanos, record.toBuilder().setState(TargetRecord.State.GONE).build());
    }
    service(record.getService()).update(nowNanos, record);
    if (record.getState() == TargetRecord.State.GONE) {
      serviceByTarget.remove(record.getId());
    }
  }

  /**
   * Takes in a report that another entry instance has received.
   *
   * @param reportNanos when the target made it
   */
  public void applyReport(long reportNanos, TargetId target, LoadReport report) {
    services.values().forEach(each -> each.noteReport(reportNanos, target, report));
  }

  /**
   * Takes in that another entry instance has begun requests at a target.
   *
   * @param nowNanos the present time
   */
  public void addRemoteRequests(long nowNanos, TargetId target, int requests) {
    services.values().forEach(each -> each.noteBegun(nowNanos, target, requests));
  }

  /**
   * Takes in that another entry instance has found a target cold.
   *
   * @param nowNanos the present time
   */
  public void markCold(long nowNanos, TargetId target, int coldLeftMs) {
    services.values().forEach(each -> each.noteCold(nowNanos, target, coldLeftMs));
  }

  /**
   * Returns the status checks that this entry instance is to send now. Each must be followed by a
   * call of {@link #completeProbe}.
   *
   * @param nowNanos the present time
   * @param duty which targets this entry instance checks first
   */
  public List<ProbeRequest> startDueProbes(long nowNanos, ProbeAssignment duty) {
    return services.values().stream()
        .flatMap(each -> each.takeProbes(nowNanos, duty).stream())
        .toList();
  }

  /**
   * Takes in the end of a status check.
   *
   * @param nowNanos the present time
   */
  public void completeProbe(long nowNanos, ProbeRequest order, ProbeResult result) {
    services.values().forEach(each -> each.noteProbe(nowNanos, order, result));
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
    Decision decision = service(request.service().value()).request(nowNanos, request);
    if (decision instanceof Decision.Assigned) {
      underWay.put(request.attemptId(), request);
    }
    return decision;
  }

  @Override
  public List<Decision> complete(long nowNanos, Completion completion) {
    DispatchRequest request = underWay.remove(completion.attemptId());
    if (request == null) {
      return List.of();
    }
    service(request.service().value()).complete(nowNanos, request, completion);
    return List.of();
  }

  @Override
  public void cancel(long nowNanos, long attemptId) {
    // No attempt waits here.
  }

  @Override
  public List<Decision> tick(long nowNanos) {
    return List.of();
  }

  /**
   * Returns what was seen of the moves under way since the last call.
   *
   * @param nowNanos the present time
   */
  public List<VersionEvidence> drainSamples(long nowNanos) {
    return services.values().stream()
        .map(each -> each.drainSamples(nowNanos))
        .flatMap(Optional::stream)
        .toList();
  }

  /** Returns the number of targets of a service that take requests. */
  public long readyTargetCount(String service) {
    return services.containsKey(service) ? services.get(service).readyTargets() : 0;
  }
}
