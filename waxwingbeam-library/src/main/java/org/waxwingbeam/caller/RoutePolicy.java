package org.waxwingbeam.caller;

import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TemplateName;

/**
 * States how the requests of one client account on one route are treated.
 *
 * @param template the template that the host belongs to
 * @param service the service whose targets answer
 * @param account the client account
 * @param route the route
 * @param idempotent whether a request may run twice
 * @param transfer whether answers are long transfers
 * @param parameters the client account's values, then the template's, then the defaults
 * @since 0.1.0
 */
public record RoutePolicy(
    TemplateName template,
    ServiceName service,
    AccountName account,
    RouteName route,
    boolean idempotent,
    boolean transfer,
    Parameters parameters) {

  /** Returns the value of a parameter in its unit. */
  public long value(Parameter parameter) {
    return parameters.value(parameter);
  }
}
