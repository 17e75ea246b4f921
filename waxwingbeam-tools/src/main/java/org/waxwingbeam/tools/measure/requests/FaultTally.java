package org.waxwingbeam.tools.measure.requests;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.waxwingbeam.tools.measure.requests.FaultRun.FaultCase;
import org.waxwingbeam.tools.testing.RawResponse;

/** Counts what callers were told and compares it with what ran. */
final class FaultTally {
  private final Map<String, Integer> responses = new TreeMap<>();
  private final Set<String> violations = new TreeSet<>();
  private final Set<String> toldMayHaveRun = new TreeSet<>();
  private int requests;
  private int sent;
  private int wrongResponses;
  private int runsThoughToldUnrun;
  private int mostRunsOfNonIdempotent;

  /** Notes what a caller got for one sending of a request. */
  void onResponse(FaultCase request, Optional<RawResponse> answer, int runs) {
    sent++;
    String kind =
        answer
            .map(each -> each.header("waxwingbeam-error").orElse("answered"))
            .orElse("connection cut");
    responses.merge(kind, 1, Integer::sum);
    if (kind.equals("answered") && !answer.get().body().equals(FaultyTarget.body(request.id()))) {
      wrongResponses++;
      violations.add(request.id() + ": wrong answer " + answer.get().body());
    }
    boolean toldUnrun =
        answer.flatMap(each -> each.header("waxwingbeam-run")).equals(Optional.of("no"));
    if (!toldUnrun) {
      toldMayHaveRun.add(request.id());
    } else if (runs > 0 && !toldMayHaveRun.contains(request.id())) {
      onRunThoughToldUnrun(request, kind);
    }
  }

  private void onRunThoughToldUnrun(FaultCase request, String kind) {
    runsThoughToldUnrun++;
    violations.add(request.id() + ": ran though told " + kind);
  }

  /** Notes how often a request has run after all of its sendings. */
  void onEnd(FaultCase request, int runs) {
    requests++;
    if (!request.idempotent()) {
      mostRunsOfNonIdempotent = Math.max(mostRunsOfNonIdempotent, runs);
      if (runs > 1) {
        violations.add("%s: ran %d times".formatted(request.id(), runs));
      }
    }
    if (runs > 0 && !toldMayHaveRun.contains(request.id())) {
      onRunThoughToldUnrun(request, "not run at every sending");
    }
  }

  /** Adds another tally to this one. */
  void add(FaultTally other) {
    other.responses.forEach((kind, count) -> responses.merge(kind, count, Integer::sum));
    violations.addAll(other.violations);
    requests += other.requests;
    sent += other.sent;
    wrongResponses += other.wrongResponses;
    runsThoughToldUnrun += other.runsThoughToldUnrun;
    mostRunsOfNonIdempotent = Math.max(mostRunsOfNonIdempotent, other.mostRunsOfNonIdempotent);
  }

  Map<String, Integer> responses() {
    return responses;
  }

  /** Returns a line for each broken promise, with the request that shows it. */
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

  int runsThoughToldUnrun() {
    return runsThoughToldUnrun;
  }

  int mostRunsOfNonIdempotent() {
    return mostRunsOfNonIdempotent;
  }
}
