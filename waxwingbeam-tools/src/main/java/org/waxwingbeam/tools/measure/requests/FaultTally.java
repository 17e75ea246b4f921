package org.waxwingbeam.tools.measure.requests;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.waxwingbeam.tools.measure.requests.FaultRun.GeneratedRequest;
import org.waxwingbeam.tools.testing.RawResponse;

/** Counts the responses that callers got and checks them against the runs at the targets. */
final class FaultTally {
  private final Map<String, Integer> responses = new TreeMap<>();
  private final Set<String> violations = new TreeSet<>();
  private final Set<String> possiblyRun = new TreeSet<>();
  private int requests;
  private int sent;
  private int wrongResponses;
  private int runsReportedAsNotRun;
  private int maxNonIdempotentRuns;

  /** Records the response to one sending of a request, with its runs so far. */
  void recordResponse(GeneratedRequest request, Optional<RawResponse> response, int runs) {
    sent++;
    String kind =
        response
            .map(each -> each.header("waxwingbeam-error").orElse("answered"))
            .orElse("connection cut");
    responses.merge(kind, 1, Integer::sum);
    if (kind.equals("answered")
        && !response.get().body().equals(FaultyTarget.expectedBody(request.id()))) {
      wrongResponses++;
      violations.add(request.id() + ": wrong response " + response.get().body());
    }
    boolean reportedNotRun =
        response.flatMap(each -> each.header("waxwingbeam-run")).equals(Optional.of("no"));
    if (!reportedNotRun) {
      possiblyRun.add(request.id());
    } else if (runs > 0 && !possiblyRun.contains(request.id())) {
      recordRunReportedAsNotRun(request, kind);
    }
  }

  private void recordRunReportedAsNotRun(GeneratedRequest request, String kind) {
    runsReportedAsNotRun++;
    violations.add(request.id() + ": ran although reported as not run: " + kind);
  }

  /** Records how often a request has run after its last sending. */
  void recordRuns(GeneratedRequest request, int runs) {
    requests++;
    if (!request.idempotent()) {
      maxNonIdempotentRuns = Math.max(maxNonIdempotentRuns, runs);
      if (runs > 1) {
        violations.add("%s: ran %d times".formatted(request.id(), runs));
      }
    }
    if (runs > 0 && !possiblyRun.contains(request.id())) {
      recordRunReportedAsNotRun(request, "not run at every sending");
    }
  }

  /** Adds another tally to this one. */
  void add(FaultTally other) {
    other.responses.forEach((kind, count) -> responses.merge(kind, count, Integer::sum));
    violations.addAll(other.violations);
    requests += other.requests;
    sent += other.sent;
    wrongResponses += other.wrongResponses;
    runsReportedAsNotRun += other.runsReportedAsNotRun;
    maxNonIdempotentRuns = Math.max(maxNonIdempotentRuns, other.maxNonIdempotentRuns);
  }

  Map<String, Integer> responses() {
    return responses;
  }

  /** Returns a line for each violation, which starts with the id of its request. */
  Set<String> violations() {
    return violations;
  }

  int requests() {
    return requests;
  }

  int sent() {
    return sent;
  }

  int wrongResponses() {
    return wrongResponses;
  }

  int runsReportedAsNotRun() {
    return runsReportedAsNotRun;
  }

  int maxNonIdempotentRuns() {
    return maxNonIdempotentRuns;
  }
}
