package org.waxwingbeam.tools.measure;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.waxwingbeam.daemon.Command;
import org.waxwingbeam.daemon.ExitCode;

/**
 * Runs one measurement and reports whether its bounds held.
 *
 * @since 0.1.0
 */
public final class MeasureCommand implements Command {
  private static final Pattern SEED_RANGE = Pattern.compile("(\\d{1,18})\\.\\.(\\d{1,18})");

  private final List<Measurement> measurements;

  /**
   * Creates the command.
   *
   * @param measurements in the order in which the help lists them
   */
  public MeasureCommand(List<Measurement> measurements) {
    this.measurements = List.copyOf(measurements);
  }

  @Override
  public String name() {
    return "measure";
  }

  @Override
  public String summary() {
    return "run a measurement and check its bounds";
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) throws Exception {
    OptionParser parser = new OptionParser();
    OptionSpec<Void> brief = parser.accepts("short");
    OptionSpec<String> seeds = parser.accepts("seeds").withRequiredArg().defaultsTo("1..10");
    OptionSpec<String> format = parser.accepts("format").withRequiredArg().defaultsTo("text");
    OptionSpec<Void> help = parser.accepts("help");
    OptionSpec<String> names = parser.nonOptions();
    try {
      OptionSet options = parser.parse(arguments.toArray(String[]::new));
      if (options.has(help)) {
        out.print(help());
        return ExitCode.OK;
      }
      Measurement measurement = findMeasurement(options.valuesOf(names));
      MeasurementOptions chosen = parseOptions(options.has(brief), options.valueOf(seeds));
      boolean json = isJson(options.valueOf(format));
      return run(measurement, chosen, json, out);
    } catch (OptionException | InvalidChoiceException invalid) {
      err.println("waxwingbeam measure: " + invalid.getMessage());
      return ExitCode.USAGE;
    }
  }

  private static ExitCode run(
      Measurement measurement, MeasurementOptions options, boolean json, PrintStream out)
      throws Exception {
    MeasurementReport report = measurement.run(options);
    ReportPrinter printer = new ReportPrinter(out);
    if (json) {
      printer.printJson(measurement.name(), report);
    } else {
      printer.printText(measurement.name(), report);
    }
    boolean held = report.bounds().stream().allMatch(MeasurementReport.Bound::held);
    return held ? ExitCode.OK : ExitCode.FAILED;
  }

  private Measurement findMeasurement(List<String> names) {
    if (names.size() != 1) {
      throw new InvalidChoiceException("expected one measurement, found " + names.size());
    }
    Optional<Measurement> found =
        measurements.stream().filter(each -> each.name().equals(names.getFirst())).findFirst();
    return found.orElseThrow(
        () ->
            new InvalidChoiceException(
                "unknown measurement '%s'; expected one of %s"
                    .formatted(names.getFirst(), knownNames())));
  }

  private String knownNames() {
    return measurements.stream().map(Measurement::name).collect(Collectors.joining(", "));
  }

  private static MeasurementOptions parseOptions(boolean brief, String seeds) {
    Matcher range = SEED_RANGE.matcher(seeds);
    if (!range.matches()) {
      throw new InvalidChoiceException(
          "--seeds '%s': expected a range such as 1..10".formatted(seeds));
    }
    long first = Long.parseLong(range.group(1));
    long last = Long.parseLong(range.group(2));
    if (last < first) {
      throw new InvalidChoiceException(
          "--seeds '%s': the last seed is lower than the first".formatted(seeds));
    }
    return new MeasurementOptions(brief, first, last);
  }

  private static boolean isJson(String format) {
    return switch (format) {
      case "json" -> true;
      case "text" -> false;
      default ->
          throw new InvalidChoiceException(
              "--format '%s': expected text or json".formatted(format));
    };
  }

  private String help() {
    StringBuilder text = new StringBuilder();
    text.append("Usage: waxwingbeam measure NAME [OPTION]...%n%nMeasurements:%n".formatted());
    measurements.forEach(
        each -> text.append("  %-12s %s%n".formatted(each.name(), each.summary())));
    text.append(
        """

        Options:
          --short           end within 45 seconds
          --seeds A..B      seeds to run, both included (default: 1..10)
          --format FORMAT   text or json (default: text)
          --help            print this text

        Exit codes: 0 every bound held, 1 a bound was missed, 2 the command line is wrong.
        """);
    return text.toString();
  }

  /** Reports an invalid option value or measurement name. */
  private static final class InvalidChoiceException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidChoiceException(String message) {
      super(message);
    }
  }
}
