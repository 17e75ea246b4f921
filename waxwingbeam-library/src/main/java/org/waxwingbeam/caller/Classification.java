package org.waxwingbeam.caller;

import org.waxwingbeam.model.ErrorKind;

/**
 * Tells where a request belongs, or why it belongs nowhere.
 *
 * @since 0.1.0
 */
public sealed interface Classification {
  /**
   * The request belongs to a route of a client account.
   *
   * @param policy how it is treated
   */
  record Accepted(RoutePolicy policy) implements Classification {}

  /**
   * The request belongs nowhere.
   *
   * @param kind the reason
   */
  record Refused(ErrorKind kind) implements Classification {}
}
