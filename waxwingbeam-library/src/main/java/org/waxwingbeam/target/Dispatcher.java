package org.waxwingbeam.target;

import java.util.List;
import java.util.Optional;
import org.waxwingbeam.model.TargetId;

/**
 * Assigns targets to attempts. It is a deterministic state machine: callers pass the current time,
 * and each call returns the decisions that became final. Calls for the same service must not
 * overlap.
 *
 * <pre>{@code
 * switch (dispatcher.request(now, request)) {
 *   case Decision.Assigned assigned -> send(assigned);
 *   case Decision.Queued queued -> awaitDecision(queued);
 *   case Decision.Refused refused -> respond(refused);
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public interface Dispatcher {
  /**
   * Requests a target for an attempt.
   *
   * @param nowNanos the current time on the entry's monotonic clock
   * @param request the attempt
   */
  Decision request(long nowNanos, DispatchRequest request);

  /**
   * Records the end of an attempt at its target and assigns the released capacity to waiting
   * attempts.
   *
   * @param nowNanos the current time on the entry's monotonic clock
   * @param completion the attempt and how it ended
   * @return decisions for attempts that were waiting
   */
  List<Decision> complete(long nowNanos, Completion completion);

  /**
   * Removes a waiting attempt. Does nothing if the attempt is not waiting.
   *
   * @param nowNanos the current time on the entry's monotonic clock
   * @param attemptId the attempt
   */
  void cancel(long nowNanos, long attemptId);

  /**
   * Applies what a target has stated in a response about further requests. Does nothing in
   * dispatchers that learn of it by other means.
   *
   * @param nowNanos the current time on the entry's monotonic clock
   * @param target the address of the target
   * @param instance the identity of the target, if it has reported one
   * @param notice what it has stated
   */
  default void applyNotice(
      long nowNanos, TargetId target, Optional<String> instance, TargetNotice notice) {}

  /**
   * Returns whether a request may still be sent to the target that was assigned to its attempt. The
   * target may have stated since then that it wants none.
   *
   * @param nowNanos the current time on the entry's monotonic clock
   * @param target the address of the target
   * @param instance the identity of the target, if it has reported one
   */
  default boolean maySend(long nowNanos, TargetId target, Optional<String> instance) {
    return true;
  }

  /**
   * Refuses the waiting attempts whose deadline has passed and tries to assign targets to the
   * others.
   *
   * @param nowNanos the current time on the entry's monotonic clock
   * @return decisions for attempts that were waiting
   */
  List<Decision> tick(long nowNanos);
}
