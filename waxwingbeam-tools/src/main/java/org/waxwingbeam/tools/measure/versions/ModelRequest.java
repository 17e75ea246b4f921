package org.waxwingbeam.tools.measure.versions;

import org.waxwingbeam.model.RouteName;

/** One attempt at a request in the model. */
final class ModelRequest {
  final ModelEntry entry;
  final ModelService service;
  final int routeIndex;
  final RouteName route;
  final boolean idempotent;
  final boolean retry;
  final double sentMs;
  ModelTarget target;
  int inFlightAtStart;
  boolean fails;
  boolean crashes;
  boolean affected;
  boolean coldWhenSent;

  ModelRequest(
      ModelEntry entry,
      ModelService service,
      int routeIndex,
      boolean idempotent,
      boolean retry,
      double sentMs) {
    this.entry = entry;
    this.service = service;
    this.routeIndex = routeIndex;
    this.route = ModelService.ROUTES.get(routeIndex);
    this.idempotent = idempotent;
    this.retry = retry;
    this.sentMs = sentMs;
  }

  ModelRequest asRetry(double nowMs) {
    return new ModelRequest(entry, service, routeIndex, idempotent, true, nowMs);
  }
}
