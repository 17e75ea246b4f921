package org.waxwingbeam.model;

import java.util.Optional;

/**
 * Assigns the requests of one method and path pattern to a route.
 *
 * @param name the route
 * @param method the HTTP method in upper case, or empty for all methods
 * @param pathPattern a path in which {@code *} stands for one segment and a final {@code **} for
 *     the rest
 * @param idempotent whether running a request twice does no harm
 * @param transfer whether answers are long transfers with their own limits
 * @since 0.1.0
 */
public record RouteRule(
    RouteName name,
    Optional<String> method,
    String pathPattern,
    boolean idempotent,
    boolean transfer) {}
