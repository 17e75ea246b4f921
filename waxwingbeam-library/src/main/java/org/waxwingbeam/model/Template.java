package org.waxwingbeam.model;

import java.util.List;

/**
 * Describes one kind of service: which requests belong to it and how they are to be treated.
 *
 * @param name the template
 * @param service the service whose targets answer
 * @param hostPattern a host name in which {@code {account}} stands for the client account's name,
 *     such as <code>{account}.listings.example</code>
 * @param routes rules in order; the first that matches decides
 * @param parameters the values for every client account that does not override them
 * @since 0.1.0
 */
public record Template(
    TemplateName name,
    ServiceName service,
    String hostPattern,
    List<RouteRule> routes,
    Parameters parameters) {
  /** Copies the list of routes. */
  public Template {
    routes = List.copyOf(routes);
  }

  /** Returns a copy with other parameters. */
  public Template withParameters(Parameters replacement) {
    return new Template(name, service, hostPattern, routes, replacement);
  }
}
