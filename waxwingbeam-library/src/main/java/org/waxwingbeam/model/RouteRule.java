package org.waxwingbeam.model;

import java.util.Optional;

/**
 * A rule that assigns requests to a route by method and path pattern.
 *
 * @param name the name of the route
 * @param method the HTTP method in upper case, or empty for all methods
 * @param pathPattern a path in which {@code *} matches one segment and a final {@code **} any
 *     remaining segments
 * @param idempotent whether a request may safely run more than once
 * @param transfer whether requests are long uploads or downloads with time limits of their own
 * @since 0.1.0
 */
public record RouteRule(
    RouteName name,
    Optional<String> method,
    String pathPattern,
    boolean idempotent,
    boolean transfer) {}
