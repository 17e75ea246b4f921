package org.waxwingbeam.tools.measure.path;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.tools.load.LoadGenerator;
import org.waxwingbeam.tools.load.LoadResult;
import org.waxwingbeam.tools.measure.Measurement;
import org.waxwingbeam.tools.measure.MeasurementOptions;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.MeasurementReport.Limit;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;

/**
 * Measures the latency that an entry instance adds, compared with direct requests to the target.
 *
 * <p>The load is open-loop, and latency counts from the time at which a request was due. Runs with
 * direct requests alternate with runs through the entry instance.
 *
 * @since 0.1.0
 */
public final class PathMeasurement implements Measurement {
  private static final double ADDED_P99_BOUND_MS = 1.1;
  private static final double MICROS_PER_MS = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int WORKERS = 2;
  private static final int BRIEF_SEEDS = 2;
  private static final long RUN_MS = 3_000;
  private static final long BRIEF_RUN_MS = 2_000;
  private static final long WARM_UP_MS = 4_000;
  private static final int WARM_UP_RATE = 2_000;
  private static final List<Integer> RATES = List.of(300, 1_000, 3_000);
  private static final String TARGET =
      "service=listing,slots=512,queue=512,service-time=2,distribution=fixed";

  @Override
  public String name() {
    return "path";
  }

  @Override
  public String summary() {
    return "latency that an entry instance adds, its throughput and allocation";
  }

  @Override
  public MeasurementReport run(MeasurementOptions options) throws Exception {
    List<Long> seeds =
        options.seeds().limit(options.brief() ? BRIEF_SEEDS : Long.MAX_VALUE).boxed().toList();
    List<RateResult> results = new ArrayList<>();
    try (PathFixture fixture = new PathFixture(WORKERS, TARGET)) {
      runLoad(fixture.targetEndpoint(), WARM_UP_RATE, WARM_UP_MS, 0);
      runLoad(fixture.entryEndpoint(), WARM_UP_RATE, WARM_UP_MS, 0);
      for (int rate : RATES) {
        results.add(measureRate(fixture, rate, seeds, options.brief() ? BRIEF_RUN_MS : RUN_MS));
      }
    }
    return new MeasurementReport(
        List.of(latencyTable(results), usageTable(results)),
        results.stream().flatMap(each -> bounds(each).stream()).toList());
  }

  /** Alternates which path is measured first, so that neither always runs in the colder process. */
  private static RateResult measureRate(
      PathFixture fixture, int rate, List<Long> seeds, long runMs) {
    LoadResult direct = new LoadResult();
    LoadResult viaEntry = new LoadResult();
    ThreadUsage usage = new ThreadUsage(0, 0);
    for (long seed : seeds) {
      boolean directFirst = seed % 2 == 0;
      if (directFirst) {
        direct.add(runLoad(fixture.targetEndpoint(), rate, runMs, seed));
      }
      ThreadUsage usageBefore = fixture.entryUsage();
      viaEntry.add(runLoad(fixture.entryEndpoint(), rate, runMs, seed));
      usage = usage.plus(fixture.entryUsage().since(usageBefore));
      if (!directFirst) {
        direct.add(runLoad(fixture.targetEndpoint(), rate, runMs, seed));
      }
    }
    return new RateResult(rate, direct, viaEntry, usage);
  }

  private static LoadResult runLoad(Endpoint endpoint, int rate, long durationMs, long seed) {
    return LoadGenerator.run(PathFixture.loadPlan(endpoint, rate, durationMs, seed), outcome -> {});
  }

  private static List<Bound> bounds(RateResult result) {
    return List.of(
        new Bound(
            "ms added at p99, %d requests/s".formatted(result.rate()),
            latencyMs(result.viaEntry(), 99) - latencyMs(result.direct(), 99),
            Limit.AT_MOST,
            ADDED_P99_BOUND_MS),
        new Bound(
            "requests without a right answer, %d requests/s".formatted(result.rate()),
            result.viaEntry().sent() - result.viaEntry().latencies().getTotalCount(),
            Limit.AT_MOST,
            0));
  }

  private static Table latencyTable(List<RateResult> results) {
    List<List<String>> rows = new ArrayList<>();
    for (RateResult result : results) {
      rows.add(row(result.rate(), "direct", result.direct()));
      rows.add(row(result.rate(), "through an entry", result.viaEntry()));
      rows.add(
          List.of(
              "" + result.rate(),
              "added",
              "",
              "%.3f".formatted(addedMs(result, 50)),
              "%.3f".formatted(addedMs(result, 99)),
              "%.3f".formatted(addedMs(result, 99.9))));
    }
    return new Table(
        "Latency in ms from the time at which a request was due; the target takes 2 ms",
        List.of("requests/s", "way", "answers", "p50", "p99", "p99.9"),
        rows);
  }

  private static List<String> row(int rate, String path, LoadResult result) {
    return List.of(
        "" + rate,
        path,
        "" + result.latencies().getTotalCount(),
        "%.3f".formatted(latencyMs(result, 50)),
        "%.3f".formatted(latencyMs(result, 99)),
        "%.3f".formatted(latencyMs(result, 99.9)));
  }

  private static Table usageTable(List<RateResult> results) {
    return new Table(
        "Resources used by the entry instance's event loops",
        List.of("requests/s", "us of a core per request", "requests/s per core", "bytes allocated"),
        results.stream().map(PathMeasurement::usageRow).toList());
  }

  private static List<String> usageRow(RateResult result) {
    double requests = result.viaEntry().sent();
    double cpuSeconds = result.usage().cpuNanos() / NANOS_PER_SECOND;
    return List.of(
        "" + result.rate(),
        "%.1f".formatted(cpuSeconds * 1e6 / requests),
        "%.0f".formatted(requests / cpuSeconds),
        "%.0f".formatted(result.usage().allocatedBytes() / requests));
  }

  private static double addedMs(RateResult result, double percentile) {
    return latencyMs(result.viaEntry(), percentile) - latencyMs(result.direct(), percentile);
  }

  private static double latencyMs(LoadResult result, double percentile) {
    Histogram histogram = result.latencies();
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }

  /**
   * The results at one request rate.
   *
   * @param rate requests a second
   * @param direct results of direct requests to the target
   * @param viaEntry results of requests through the entry instance
   * @param usage resources that the entry instance's event loops used
   */
  private record RateResult(int rate, LoadResult direct, LoadResult viaEntry, ThreadUsage usage) {}
}
