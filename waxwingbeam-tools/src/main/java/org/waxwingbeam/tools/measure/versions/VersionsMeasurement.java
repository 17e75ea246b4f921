package org.waxwingbeam.tools.measure.versions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.waxwingbeam.tools.measure.Measurement;
import org.waxwingbeam.tools.measure.MeasurementOptions;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.MeasurementReport.Limit;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;

/**
 * Measures whether moves to good versions finish in time and moves to bad ones are rolled back.
 *
 * @since 0.1.0
 */
public final class VersionsMeasurement implements Measurement {
  private static final int MOVES_PER_KIND = 200;
  private static final int BRIEF_MOVES_PER_KIND = 10;
  private static final double MAX_TIME_TO_STOP_S = 3;
  private static final double MS_PER_SECOND = 1_000;
  private static final List<String> COLUMNS =
      List.of(
          "kind",
          "moves",
          "finished %",
          "rolled back %",
          "false %",
          "stop p50 s",
          "stop p99 s",
          "stop max s",
          "new share %",
          "new requests",
          "caller errors",
          "excess");

  @Override
  public String name() {
    return "versions";
  }

  @Override
  public String summary() {
    return "version moves: good ones finish in time, bad ones are rolled back";
  }

  @Override
  public MeasurementReport run(MeasurementOptions options) {
    List<KindResult> results =
        Arrays.stream(MoveKind.values()).map(kind -> runMoves(kind, options)).toList();
    Table table =
        new Table(
            "version moves; %d s to the deadline, %d s of soak; times from first fault to last new"
                    .formatted(MoveModel.DEADLINE_MS / 1_000, MoveModel.SOAK_MS / 1_000)
                + " request on the bad version",
            COLUMNS,
            results.stream().map(VersionsMeasurement::row).toList());
    FalseAlarms alarms = FalseAlarms.count(options);
    return new MeasurementReport(List.of(table, alarms.table()), bounds(results, alarms));
  }

  private static KindResult runMoves(MoveKind kind, MeasurementOptions options) {
    long[] seeds = moveSeeds(options);
    List<MoveResult> moves =
        Arrays.stream(seeds)
            .parallel()
            .mapToObj(seed -> new MoveModel(kind, seed).run())
            .flatMap(List::stream)
            .toList();
    return new KindResult(kind, moves);
  }

  /** Returns a seed for each move of one kind, several for each seed of the range. */
  private static long[] moveSeeds(MeasurementOptions options) {
    long[] seedRange = options.seeds().toArray();
    int minMoves = options.brief() ? BRIEF_MOVES_PER_KIND : MOVES_PER_KIND;
    int perSeed = Math.max(1, (minMoves + seedRange.length - 1) / seedRange.length);
    int count =
        options.brief()
            ? Math.min(seedRange.length * perSeed, minMoves)
            : seedRange.length * perSeed;
    return IntStream.range(0, count)
        .mapToLong(
            index -> seedRange[index % seedRange.length] * 1_000_003 + index / seedRange.length)
        .toArray();
  }

  private static List<String> row(KindResult result) {
    List<String> row = new ArrayList<>();
    row.add(result.kind().label());
    row.add("" + result.moves().size());
    row.add(formatNumber(result.finishedPercent()));
    row.add(formatNumber(result.rolledBackPercent()));
    row.add(formatNumber(result.falseRollbackPercent()));
    row.add(formatNumber(result.timeToStopSeconds(50)));
    row.add(formatNumber(result.timeToStopSeconds(99)));
    row.add(formatNumber(result.timeToStopSeconds(100)));
    row.add(formatNumber(result.newSharePercent()));
    row.add(formatNumber(result.newRequests()));
    row.add(formatNumber(result.callerErrors()));
    row.add(formatNumber(result.maxUnprovenExcess()));
    return row;
  }

  private static String formatNumber(double value) {
    return Double.isNaN(value) ? "-" : String.format(Locale.ROOT, "%.2f", value);
  }

  private static List<Bound> bounds(List<KindResult> results, FalseAlarms alarms) {
    List<Bound> bounds = new ArrayList<>();
    for (KindResult result : results) {
      String label = result.kind().label();
      if (!Double.isNaN(result.finishedPercent())) {
        bounds.add(
            new Bound(
                label + ": good finished by the deadline, %",
                result.finishedPercent(),
                Limit.AT_LEAST,
                100));
        bounds.add(
            new Bound(
                label + ": good rolled back, %", result.falseRollbackPercent(), Limit.AT_MOST, 0));
      }
      if (!result.kind().isGood()) {
        bounds.add(
            new Bound(
                label + ": bad rolled back, %", result.rolledBackPercent(), Limit.AT_LEAST, 100));
        bounds.add(
            new Bound(
                label + ": last new request after the first fault, s",
                result.timeToStopSeconds(100),
                Limit.AT_MOST,
                MAX_TIME_TO_STOP_S));
      }
      bounds.add(
          new Bound(
              label + ": requests above the unproven share",
              result.maxUnprovenExcess(),
              Limit.AT_MOST,
              MoveModel.ENTRIES));
    }
    bounds.addAll(alarms.bounds());
    return bounds;
  }

  /** The results of all moves of one kind. */
  private record KindResult(MoveKind kind, List<MoveResult> moves) {
    double finishedPercent() {
      return percent(moves.stream().filter(MoveResult::good).map(MoveResult::finishedInTime));
    }

    double falseRollbackPercent() {
      return percent(moves.stream().filter(MoveResult::good).map(MoveResult::rolledBack));
    }

    double rolledBackPercent() {
      return percent(moves.stream().filter(move -> !move.good()).map(MoveResult::rolledBack));
    }

    double timeToStopSeconds(double percentile) {
      double[] sorted =
          moves.stream()
              .filter(move -> !move.good())
              .mapToDouble(MoveResult::timeToStopMs)
              .filter(each -> !Double.isNaN(each))
              .map(each -> each / MS_PER_SECOND)
              .sorted()
              .toArray();
      return sorted.length == 0
          ? Double.NaN
          : sorted[(int) Math.ceil(percentile / 100 * sorted.length) - 1];
    }

    double newSharePercent() {
      return 100
          * average(moves.stream().filter(m -> !m.good()).mapToDouble(MoveResult::newRequestShare));
    }

    double newRequests() {
      return average(moves.stream().filter(m -> !m.good()).mapToDouble(MoveResult::newRequests));
    }

    double callerErrors() {
      return average(moves.stream().filter(m -> !m.good()).mapToDouble(MoveResult::callerErrors));
    }

    double maxUnprovenExcess() {
      return moves.stream().mapToDouble(MoveResult::unprovenExcess).max().orElse(Double.NaN);
    }

    private static double average(java.util.stream.DoubleStream values) {
      return values.average().orElse(Double.NaN);
    }

    private static double percent(java.util.stream.Stream<Boolean> values) {
      return 100 * average(values.mapToDouble(each -> each ? 1 : 0));
    }
  }
}
