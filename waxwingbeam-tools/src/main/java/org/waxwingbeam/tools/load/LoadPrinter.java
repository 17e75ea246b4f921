package org.waxwingbeam.tools.load;

import java.io.PrintStream;
import java.util.Map;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.waxwingbeam.tools.load.RequestOutcome.Kind;

/** Prints the result of a load run as text or as JSON. */
final class LoadPrinter {
  private static final double MICROS_PER_MS = 1_000;

  private final PrintStream out;

  LoadPrinter(PrintStream out) {
    this.out = out;
  }

  void printText(LoadResult result) {
    out.println(
        "requests %d in %.1f s, %.1f a second, %d bytes"
            .formatted(
                result.sent(),
                result.seconds(),
                result.sent() / Math.max(result.seconds(), 1e-9),
                result.bytes()));
    for (Kind kind : Kind.values()) {
      out.println("  %-28s %10d".formatted(label(kind), result.count(kind)));
    }
    result
        .refusals()
        .forEach((kind, count) -> out.println("  refused: %-19s %10d".formatted(kind, count)));
    result
        .statuses()
        .forEach((status, count) -> out.println("  status %-21d %10d".formatted(status, count)));
    out.println(
        "latency in ms%17s %9s %9s %9s %9s".formatted("count", "p50", "p99", "p99.9", "max"));
    out.println(formatRow("all", result.latencies()));
    result
        .latenciesByDataCentre()
        .forEach((name, histogram) -> out.println(formatRow("data centre " + name, histogram)));
    result
        .latenciesByVersion()
        .forEach((name, histogram) -> out.println(formatRow("version " + name, histogram)));
  }

  void printJson(LoadResult result) {
    String kinds =
        java.util.Arrays.stream(Kind.values())
            .map(kind -> "\"%s\":%d".formatted(label(kind), result.count(kind)))
            .collect(Collectors.joining(",", "{", "}"));
    out.println(
        ("{\"requests\":%d,\"seconds\":%.3f,\"bytes\":%d,\"outcomes\":%s,\"refusals\":%s,"
                + "\"statuses\":%s,\"latencyMs\":%s,\"dataCentres\":%s,\"versions\":%s}")
            .formatted(
                result.sent(),
                result.seconds(),
                result.bytes(),
                kinds,
                counts(result.refusals()),
                counts(result.statuses()),
                json(result.latencies()),
                json(result.latenciesByDataCentre()),
                json(result.latenciesByVersion())));
  }

  private static String label(Kind kind) {
    return kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }

  private static String formatRow(String name, Histogram histogram) {
    return "  %-20s %7d %9.3f %9.3f %9.3f %9.3f"
        .formatted(
            name,
            histogram.getTotalCount(),
            percentileMs(histogram, 50),
            percentileMs(histogram, 99),
            percentileMs(histogram, 99.9),
            histogram.getMaxValue() / MICROS_PER_MS);
  }

  private static String json(Map<String, Histogram> histograms) {
    return histograms.entrySet().stream()
        .map(entry -> "\"%s\":%s".formatted(entry.getKey(), json(entry.getValue())))
        .collect(Collectors.joining(",", "{", "}"));
  }

  private static String json(Histogram histogram) {
    return "{\"count\":%d,\"p50\":%.3f,\"p99\":%.3f,\"p999\":%.3f,\"max\":%.3f}"
        .formatted(
            histogram.getTotalCount(),
            percentileMs(histogram, 50),
            percentileMs(histogram, 99),
            percentileMs(histogram, 99.9),
            histogram.getMaxValue() / MICROS_PER_MS);
  }

  private static String counts(Map<?, Long> counts) {
    return counts.entrySet().stream()
        .map(entry -> "\"%s\":%d".formatted(entry.getKey(), entry.getValue()))
        .collect(Collectors.joining(",", "{", "}"));
  }

  private static double percentileMs(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }
}
