package org.waxwingbeam.target.version;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.Dispatcher;
import org.waxwingbeam.target.TargetAnnouncement;
import org.waxwingbeam.target.TargetNotice;
import org.waxwingbeam.target.TargetRegistry;

/**
 * Delegates to another dispatcher and records the outcomes of attempts during version moves.
 *
 * <pre>{@code
 * Dispatcher dispatcher = new RecordingDispatcher(entryDispatcher, registry, recorder);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class RecordingDispatcher implements Dispatcher {
  private final Dispatcher dispatcher;
  private final TargetRegistry registry;
  private final SampleRecorder recorder;
  private final ConcurrentMap<Long, TrackedAttempt> tracked = new ConcurrentHashMap<>();

  private record TrackedAttempt(DispatchRequest request, Optional<VersionName> version) {}

  /**
   * Creates a dispatcher.
   *
   * @param dispatcher the dispatcher to delegate to
   * @param registry provides the state of targets, to exclude cold ones
   * @param recorder records the outcomes
   */
  public RecordingDispatcher(
      Dispatcher dispatcher, TargetRegistry registry, SampleRecorder recorder) {
    this.dispatcher = dispatcher;
    this.registry = registry;
    this.recorder = recorder;
  }

  @Override
  public Decision request(long nowNanos, DispatchRequest request) {
    if (recorder.isRecording(request.service())) {
      tracked.put(request.attemptId(), new TrackedAttempt(request, Optional.empty()));
    }
    return track(dispatcher.request(nowNanos, request));
  }

  @Override
  public List<Decision> complete(long nowNanos, Completion completion) {
    TrackedAttempt attempt = tracked.remove(completion.attemptId());
    if (attempt != null) {
      attempt.version().ifPresent(version -> record(nowNanos, attempt, version, completion));
    }
    return track(dispatcher.complete(nowNanos, completion));
  }

  @Override
  public void cancel(long nowNanos, long attemptId) {
    tracked.computeIfPresent(
        attemptId, (id, attempt) -> attempt.version().isPresent() ? attempt : null);
    dispatcher.cancel(nowNanos, attemptId);
  }

  @Override
  public void applyNotice(
      long nowNanos, TargetId target, Optional<String> instance, TargetNotice notice) {
    dispatcher.applyNotice(nowNanos, target, instance, notice);
  }

  @Override
  public boolean maySend(long nowNanos, TargetId target, Optional<String> instance) {
    return dispatcher.maySend(nowNanos, target, instance);
  }

  @Override
  public List<Decision> tick(long nowNanos) {
    return track(dispatcher.tick(nowNanos));
  }

  private List<Decision> track(List<Decision> decisions) {
    decisions.forEach(this::track);
    return decisions;
  }

  private Decision track(Decision decision) {
    switch (decision) {
      case Decision.Assigned assigned ->
          tracked.computeIfPresent(
              assigned.attemptId(),
              (id, attempt) ->
                  new TrackedAttempt(attempt.request(), Optional.of(assigned.version())));
      case Decision.Refused refused -> tracked.remove(refused.attemptId());
      case Decision.Queued queued -> {}
    }
    return decision;
  }

  private void record(
      long nowNanos, TrackedAttempt attempt, VersionName version, Completion completion) {
    ServiceName service = attempt.request().service();
    recorder.record(
        nowNanos,
        new Observation(
            service,
            attempt.request().route(),
            version,
            completion.target(),
            completion.outcome(),
            completion.headLatencyNanos(),
            completion.loadReport(),
            isCold(service, completion.target())));
  }

  private boolean isCold(ServiceName service, TargetId target) {
    return registry.targets(service).stream()
        .filter(each -> each.target().equals(target))
        .anyMatch(each -> each.state() == TargetAnnouncement.State.COLD);
  }
}
