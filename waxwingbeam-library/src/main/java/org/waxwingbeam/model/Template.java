package org.waxwingbeam.model;

import java.util.List;

/**
 * The routes and parameters of a service, together with the hosts whose requests it serves.
 *
 * @param name the name of the template
 * @param service the service whose targets serve the requests
 * @param hostPattern a host name in which {@code {account}} stands for the client account's name,
 *     such as <code>{account}.listings.example</code>
 * @param routes the rules in order of precedence; the first that matches applies
 * @param parameters the values that apply unless a client account overrides them
 * @since 0.1.0
 */
public record Template(
    TemplateName name,
    ServiceName service,
    String hostPattern,
    List<RouteRule> routes,
    Parameters parameters) {
  /** Creates a template with a copy of the list of routes. */
  public Template {
    routes = List.copyOf(routes);
  }

  /** Returns a copy with other parameters. */
  public Template withParameters(Parameters replacement) {
    return new Template(name, service, hostPattern, routes, replacement);
  }
}
