package org.waxwingbeam.caller;

import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TemplateName;

/**
 * How requests of one client account on one route are handled.
 *
 * @param template the template whose host pattern matched
 * @param service the service whose targets serve the requests
 * @param account the client account
 * @param route the route
 * @param idempotent whether a request may safely run more than once
 * @param transfer whether requests are long uploads or downloads with time limits of their own
 * @param parameters the template's values, overridden by those of the client account
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

  /** Returns the value of a parameter, in the parameter's unit. */
  public long value(Parameter parameter) {
    return parameters.value(parameter);
  }
}
