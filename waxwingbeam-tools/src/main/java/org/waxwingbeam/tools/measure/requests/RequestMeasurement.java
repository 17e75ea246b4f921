package org.waxwingbeam.tools.measure.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.waxwingbeam.tools.measure.Measurement;
import org.waxwingbeam.tools.measure.MeasurementOptions;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.MeasurementReport.Limit;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;

/**
 * Checks, under faults at every stage of an exchange, that every caller gets its own complete
 * response or an error that states correctly whether the request ran, and that non-idempotent
 * requests run at most once.
 *
 * @since 0.1.0
 */
public final class RequestMeasurement implements Measurement {
  private static final int REQUESTS = 100;
  private static final int BRIEF_REQUESTS = 25;
  private static final int POISON_REQUESTS = 60;
  private static final int BRIEF_POISON_REQUESTS = 20;
  private static final int MAX_RUNS = 1;
  private static final long BRIEF_TIME_LIMIT_NANOS = 25_000_000_000L;

  @Override
  public String name() {
    return "requests";
  }

  @Override
  public String summary() {
    return "complete responses, correct refusals and at most one run under faults";
  }

  @Override
  public MeasurementReport run(MeasurementOptions options) throws Exception {
    long startNanos = System.nanoTime();
    FaultTally tally = new FaultTally();
    List<PoisonResult> poisonResults = new ArrayList<>();
    for (long seed : options.seeds().toArray()) {
      boolean overTime = System.nanoTime() - startNanos > BRIEF_TIME_LIMIT_NANOS;
      if (options.brief() && overTime) {
        break;
      }
      try (FaultRun run = new FaultRun(seed)) {
        tally.add(run.run(options.brief() ? BRIEF_REQUESTS : REQUESTS));
      }
      poisonResults.add(runPoison(seed, options.brief() ? BRIEF_POISON_REQUESTS : POISON_REQUESTS));
    }
    List<Table> tables = new ArrayList<>(tables(tally, poisonResults));
    tables.add(transferTable());
    return new MeasurementReport(tables, bounds(tally, poisonResults));
  }

  private static Table transferTable() throws Exception {
    try (TransferRun run = new TransferRun()) {
      String throughput = "%.0f".formatted(run.throughput());
      return new Table(
          "transfers", List.of("quantity", "MiB/s"), List.of(List.of("one transfer", throughput)));
    }
  }

  private static PoisonResult runPoison(long seed, int requests) throws Exception {
    try (PoisonRun run = new PoisonRun(seed)) {
      run.run(requests);
      return new PoisonResult(seed, run.crashes(), run.refused(), run.failedOrdinaryRequests());
    }
  }

  private static List<Table> tables(FaultTally tally, List<PoisonResult> poisonResults) {
    Table responses =
        new Table(
            "%d requests sent %d times, by what the caller got"
                .formatted(tally.requests(), tally.sent()),
            List.of("answer", "times"),
            tally.responses().entrySet().stream()
                .map(each -> List.of(each.getKey(), each.getValue().toString()))
                .toList());
    Table violations =
        new Table(
            "violations", List.of("request"), tally.violations().stream().map(List::of).toList());
    Table crashing =
        new Table(
            "a request that crashes every target, sent through 4 entry instances",
            List.of("seed", "targets crashed", "refused", "other requests unanswered"),
            poisonResults.stream().map(PoisonResult::row).toList());
    return Stream.of(responses, violations, crashing)
        .filter(table -> !table.rows().isEmpty())
        .toList();
  }

  private static List<Bound> bounds(FaultTally tally, List<PoisonResult> poisonResults) {
    return List.of(
        atMost("wrong answers", tally.wrongResponses(), 0),
        atMost("runs of a non-idempotent request", tally.maxNonIdempotentRuns(), MAX_RUNS),
        atMost("runs of requests that were called not run", tally.runsReportedAsNotRun(), 0),
        atMost(
            "targets crashed by one request",
            poisonResults.stream().mapToInt(PoisonResult::crashes).max().orElse(0),
            2),
        atMost(
            "other requests that got no answer",
            poisonResults.stream().mapToInt(PoisonResult::failedOrdinaryRequests).sum(),
            0),
        new Bound("requests tried", tally.requests(), Limit.AT_LEAST, 1));
  }

  private static Bound atMost(String what, double seen, double stated) {
    return new Bound(what, seen, Limit.AT_MOST, stated);
  }

  /** The results of one run with a crashing request. */
  private record PoisonResult(long seed, int crashes, int refused, int failedOrdinaryRequests) {
    List<String> row() {
      return Stream.of(seed, (long) crashes, (long) refused, (long) failedOrdinaryRequests)
          .map(String::valueOf)
          .toList();
    }
  }
}
