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
 * Measures whether every caller gets its own whole answer or an honest error, and whether what may
 * run only once does so, under faults at every stage of an exchange.
 *
 * @since 0.1.0
 */
public final class RequestMeasurement implements Measurement {
  private static final int REQUESTS = 100;
  private static final int BRIEF_REQUESTS = 25;
  private static final int POISON_SENDINGS = 60;
  private static final int BRIEF_POISON_SENDINGS = 20;
  private static final int MAX_RUNS = 1;
  private static final long BRIEF_LIMIT_NANOS = 25_000_000_000L;

  @Override
  public String name() {
    return "requests";
  }

  @Override
  public String summary() {
    return "whole answers, honest refusals and at most one run under faults";
  }

  @Override
  public MeasurementReport run(MeasurementOptions options) throws Exception {
    long startNanos = System.nanoTime();
    FaultTally tally = new FaultTally();
    List<PoisonResult> poison = new ArrayList<>();
    for (long seed : options.seeds().toArray()) {
      boolean late = System.nanoTime() - startNanos > BRIEF_LIMIT_NANOS;
      if (options.brief() && late) {
        break;
      }
      try (FaultRun run = new FaultRun(seed)) {
        tally.add(run.run(options.brief() ? BRIEF_REQUESTS : REQUESTS));
      }
      poison.add(poison(seed, options.brief() ? BRIEF_POISON_SENDINGS : POISON_SENDINGS));
    }
    List<Table> tables = new ArrayList<>(tables(tally, poison));
    tables.add(transfers());
    return new MeasurementReport(tables, bounds(tally, poison));
  }

  private static Table transfers() throws Exception {
    try (TransferRun run = new TransferRun()) {
      String throughput = "%.0f".formatted(run.throughput());
      return new Table(
          "transfers", List.of("quantity", "MiB/s"), List.of(List.of("one transfer", throughput)));
    }
  }

  private static PoisonResult poison(long seed, int sendings) throws Exception {
    try (PoisonRun run = new PoisonRun(seed)) {
      run.run(sendings);
      return new PoisonResult(seed, run.crashes(), run.refused(), run.ordinaryUnanswered());
    }
  }

  private static List<Table> tables(FaultTally tally, List<PoisonResult> poison) {
    Table answers =
        new Table(
            "%d requests sent %d times, by what the caller got"
                .formatted(tally.requests(), tally.sent()),
            List.of("answer", "times"),
            tally.responses().entrySet().stream()
                .map(each -> List.of(each.getKey(), each.getValue().toString()))
                .toList());
    Table violations =
        new Table(
            "broken promises",
            List.of("request"),
            tally.violations().stream().map(List::of).toList());
    Table crashing =
        new Table(
            "a request that crashes every target, sent through 4 entry instances",
            List.of("seed", "targets crashed", "refused", "other requests unanswered"),
            poison.stream().map(PoisonResult::row).toList());
    return Stream.of(answers, violations, crashing)
        .filter(table -> !table.rows().isEmpty())
        .toList();
  }

  private static List<Bound> bounds(FaultTally tally, List<PoisonResult> poison) {
    return List.of(
        atMost("wrong answers", tally.wrongResponses(), 0),
        atMost("runs of a non-idempotent request", tally.mostRunsOfNonIdempotent(), MAX_RUNS),
        atMost("runs of requests that were called not run", tally.runsThoughToldUnrun(), 0),
        atMost(
            "targets crashed by one request",
            poison.stream().mapToInt(PoisonResult::crashes).max().orElse(0),
            2),
        atMost(
            "other requests that got no answer",
            poison.stream().mapToInt(PoisonResult::unanswered).sum(),
            0),
        new Bound("requests tried", tally.requests(), Limit.AT_LEAST, 1));
  }

  private static Bound atMost(String what, double seen, double stated) {
    return new Bound(what, seen, Limit.AT_MOST, stated);
  }

  /** What one run with a crashing request showed. */
  private record PoisonResult(long seed, int crashes, int refused, int unanswered) {
    List<String> row() {
      return Stream.of(seed, (long) crashes, (long) refused, (long) unanswered)
          .map(String::valueOf)
          .toList();
    }
  }
}
