package org.waxwingbeam.caller.net;

import io.netty.util.concurrent.EventExecutor;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.AttemptOutcome;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.Dispatcher;
import org.waxwingbeam.target.TargetNotice;

/**
 * Shares one dispatcher between the event loops and delivers each deferred decision on the event
 * loop of the attempt that waits for it.
 *
 * @since 0.1.0
 */
// Nothing needs the future of a scheduled tick.
@SuppressWarnings("FutureReturnValueIgnored")
public final class SharedDispatcher {
  private final Dispatcher dispatcher;
  private final LongSupplier clock;
  private final Map<Long, Waiter> waiting = new ConcurrentHashMap<>();

  /**
   * Wraps a dispatcher.
   *
   * @param dispatcher a thread-safe dispatcher
   * @param clock the entry instance's monotonic clock, in nanoseconds
   */
  public SharedDispatcher(Dispatcher dispatcher, LongSupplier clock) {
    this.dispatcher = dispatcher;
    this.clock = clock;
  }

  /**
   * Requests a target for an attempt.
   *
   * @param request the attempt
   * @param executor the event loop on which the receiver is called
   * @param receiver called at most once, with the final decision, if the returned one is {@link
   *     Decision.Queued}
   * @return the decision, which is final unless it is {@link Decision.Queued}
   */
  Decision request(DispatchRequest request, EventExecutor executor, Consumer<Decision> receiver) {
    // Registered first: another event loop may make the final decision before this call returns.
    waiting.put(request.attemptId(), new Waiter(executor, receiver));
    Decision decision = dispatcher.request(clock.getAsLong(), request);
    if (decision instanceof Decision.Queued queued) {
      queued
          .tickAfterNanos()
          .ifPresent(after -> executor.schedule(this::tick, after, TimeUnit.NANOSECONDS));
    } else {
      waiting.remove(request.attemptId());
    }
    return decision;
  }

  /** Reports the end of an attempt that had been assigned a target. */
  void complete(Completion completion) {
    deliver(dispatcher.complete(clock.getAsLong(), completion));
  }

  /** Applies what a target has stated in a response about further requests. */
  void applyNotice(TargetId target, Optional<String> instance, TargetNotice notice) {
    dispatcher.applyNotice(clock.getAsLong(), target, instance, notice);
  }

  /** Returns whether a request may still be sent to the target that was assigned to it. */
  boolean maySend(TargetId target, Optional<String> instance) {
    return dispatcher.maySend(clock.getAsLong(), target, instance);
  }

  /** Cancels an attempt that still waits for a target. */
  void cancel(long attemptId) {
    waiting.remove(attemptId);
    dispatcher.cancel(clock.getAsLong(), attemptId);
  }

  /** Runs the time-dependent work of the dispatcher, such as time-outs of waiting attempts. */
  public void tick() {
    deliver(dispatcher.tick(clock.getAsLong()));
  }

  /** Delivers decisions that other events than those reported to this class have made final. */
  public void deliver(List<Decision> decisions) {
    decisions.forEach(this::deliver);
  }

  private void deliver(Decision decision) {
    Waiter waiter = waiting.remove(decision.attemptId());
    if (waiter != null) {
      waiter.executor().execute(() -> waiter.receiver().accept(decision));
    } else if (decision instanceof Decision.Assigned assigned) {
      // The attempt was cancelled concurrently: release its slot at the target.
      complete(
          new Completion(
              assigned.attemptId(),
              assigned.target(),
              AttemptOutcome.CANCELLED,
              0,
              Optional.empty()));
    }
  }

  private record Waiter(EventExecutor executor, Consumer<Decision> receiver) {}
}
