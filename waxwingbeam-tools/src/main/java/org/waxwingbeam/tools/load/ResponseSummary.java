package org.waxwingbeam.tools.load;

import org.waxwingbeam.tools.load.RequestOutcome.Kind;

/** The parts of one response that go into its outcome. */
record ResponseSummary(
    Kind kind,
    int status,
    String error,
    String run,
    String dataCentre,
    String version,
    long bytes) {

  static ResponseSummary withoutResponse(Kind kind) {
    return new ResponseSummary(kind, 0, "", "", "", "", 0);
  }

  RequestOutcome toOutcome(PlannedRequest request, long latencyNanos) {
    return new RequestOutcome(
        request.token,
        request.key,
        request.kind.method(),
        request.kind.path(),
        request.entry,
        kind,
        status,
        error,
        run,
        dataCentre,
        version,
        request.dueMs,
        latencyNanos,
        bytes);
  }
}
