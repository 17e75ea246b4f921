package org.waxwingbeam.tools.measure;

import java.io.PrintStream;
import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.MeasurementReport.Limit;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;

/** Prints a measurement's report as aligned text or as JSON. */
public final class ReportPrinter {
  private final PrintStream out;

  /** Creates a printer that writes to a stream. */
  public ReportPrinter(PrintStream out) {
    this.out = out;
  }

  /** Prints the tables, the bounds and a final line that lists the missed bounds. */
  public void printText(String name, MeasurementReport report) {
    report.tables().forEach(this::printTable);
    report.bounds().forEach(bound -> out.println(formatBound(bound)));
    out.println(verdict(name, report));
  }

  /** Prints the report as one JSON object. */
  public void printJson(String name, MeasurementReport report) {
    String tables = report.tables().stream().map(ReportPrinter::toJson).collect(jsonArray());
    String bounds = report.bounds().stream().map(ReportPrinter::toJson).collect(jsonArray());
    boolean held = report.bounds().stream().allMatch(Bound::held);
    out.println(
        "{\"name\":%s,\"held\":%s,\"tables\":%s,\"bounds\":%s}"
            .formatted(quote(name), held, tables, bounds));
  }

  static String verdict(String name, MeasurementReport report) {
    String missed =
        report.bounds().stream()
            .filter(bound -> !bound.held())
            .map(
                bound ->
                    "%s, seen %s, stated %s"
                        .formatted(
                            bound.what(), formatNumber(bound.seen()), formatNumber(bound.stated())))
            .collect(Collectors.joining("; "));
    return missed.isEmpty() ? name + ": held" : name + ": fell short: " + missed;
  }

  private void printTable(Table table) {
    List<Integer> widths =
        IntStream.range(0, table.columns().size())
            .mapToObj(column -> width(table, column))
            .toList();
    out.println(table.title());
    out.println(formatRow(table.columns(), widths));
    table.rows().forEach(row -> out.println(formatRow(row, widths)));
    out.println();
  }

  private static int width(Table table, int column) {
    Stream<String> cells =
        Stream.concat(
            Stream.of(table.columns().get(column)),
            table.rows().stream().map(row -> row.get(column)));
    return Collections.max(cells.map(String::length).toList());
  }

  private static String formatRow(List<String> cells, List<Integer> widths) {
    return IntStream.range(0, cells.size())
        .mapToObj(column -> pad(cells.get(column), widths.get(column), column == 0))
        .collect(Collectors.joining("  ", "  ", ""))
        .stripTrailing();
  }

  private static String pad(String cell, int width, boolean left) {
    String padding = " ".repeat(width - cell.length());
    return left ? cell + padding : padding + cell;
  }

  private static String formatBound(Bound bound) {
    String side = bound.limit() == Limit.AT_MOST ? "at most" : "at least";
    return "  %s %s: seen %s, stated %s %s"
        .formatted(
            bound.held() ? "held " : "MISSED",
            bound.what(),
            formatNumber(bound.seen()),
            side,
            formatNumber(bound.stated()));
  }

  private static String formatNumber(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15
        ? Long.toString((long) value)
        : "%.4g".formatted(value);
  }

  private static String toJson(Table table) {
    String columns = table.columns().stream().map(ReportPrinter::quote).collect(jsonArray());
    String rows =
        table.rows().stream()
            .map(row -> row.stream().map(ReportPrinter::quote).collect(jsonArray()))
            .collect(jsonArray());
    return "{\"title\":%s,\"columns\":%s,\"rows\":%s}"
        .formatted(quote(table.title()), columns, rows);
  }

  private static String toJson(Bound bound) {
    return "{\"what\":%s,\"seen\":%s,\"limit\":%s,\"stated\":%s,\"held\":%s}"
        .formatted(
            quote(bound.what()),
            jsonNumber(bound.seen()),
            quote(bound.limit() == Limit.AT_MOST ? "at most" : "at least"),
            jsonNumber(bound.stated()),
            bound.held());
  }

  private static String jsonNumber(double value) {
    return Double.isFinite(value) ? Double.toString(value) : "null";
  }

  private static java.util.stream.Collector<CharSequence, ?, String> jsonArray() {
    return Collectors.joining(",", "[", "]");
  }

  private static String quote(String text) {
    return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\"";
  }
}
