package org.waxwingbeam.target;

import java.util.List;

/**
 * Gives attempts their targets. It is a deterministic state machine: its inputs carry the time, and
 * its outputs are the decisions that became final. Calls for one service must not overlap.
 *
 * <pre>{@code
 * switch (dispatcher.request(now, request)) {
 *   case Decision.Assigned assigned -> send(assigned);
 *   case Decision.Queued queued -> awaitDecision(queued);
 *   case Decision.Refused refused -> answer(refused);
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public interface Dispatcher {
  /**
   * Asks for a target for an attempt.
   *
   * @param nowNanos the entry's monotonic clock
   * @param request the attempt
   */
  Decision request(long nowNanos, DispatchRequest request);

  /**
   * Notes that an attempt has ended at its target and gives the place to waiting attempts.
   *
   * @param nowNanos the entry's monotonic clock
   * @param completion the attempt and how it ended
   * @return decisions for attempts that were waiting
   */
  List<Decision> complete(long nowNanos, Completion completion);

  /**
   * Forgets an attempt that is still waiting. Does nothing if it is not.
   *
   * @param nowNanos the entry's monotonic clock
   * @param attemptId the attempt
   */
  void cancel(long nowNanos, long attemptId);

  /**
   * Lets time pass: refuses waiting attempts whose deadline has come and reconsiders the others.
   *
   * @param nowNanos the entry's monotonic clock
   * @return decisions for attempts that were waiting
   */
  List<Decision> tick(long nowNanos);
}
