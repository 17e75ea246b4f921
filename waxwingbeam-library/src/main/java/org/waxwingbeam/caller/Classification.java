package org.waxwingbeam.caller;

import org.waxwingbeam.model.ErrorKind;

/**
 * The result of matching a request against the configured routes.
 *
 * @since 0.1.0
 */
public sealed interface Classification {
  /**
   * The request matches a route of a client account.
   *
   * @param policy how the request is handled
   */
  record Accepted(RoutePolicy policy) implements Classification {}

  /**
   * The request matches no route, or no routes are known.
   *
   * @param kind the error that the caller receives
   */
  record Refused(ErrorKind kind) implements Classification {}
}
