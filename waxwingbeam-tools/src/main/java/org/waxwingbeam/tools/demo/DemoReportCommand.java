package org.waxwingbeam.tools.demo;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.waxwingbeam.daemon.Command;
import org.waxwingbeam.daemon.ExitCode;
import org.waxwingbeam.daemon.HelpText;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Bound;
import org.waxwingbeam.tools.measure.ReportPrinter;

/**
 * The command {@code demo-report}: evaluates the files that a demo run has written. The exit code
 * says whether all bounds were met.
 *
 * @since 0.1.0
 */
public final class DemoReportCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> outcomes =
      parser
          .accepts("outcomes", "outcomes that the load command wrote")
          .withRequiredArg()
          .describedAs("FILE");
  private final OptionSpec<String> records =
      parser
          .accepts("record", "record of a process of stand-in targets; repeatable")
          .withRequiredArg()
          .describedAs("FILE");
  private final OptionSpec<String> events =
      parser
          .accepts("events", "times at which the data centre was taken out and brought back")
          .withRequiredArg()
          .describedAs("FILE");
  private final OptionSpec<String> dataCentre =
      parser
          .accepts("data-centre", "name of the data centre that was taken out")
          .withRequiredArg()
          .describedAs("NAME");
  private final OptionSpec<Void> help = parser.accepts("help", "print this text");

  @Override
  public String name() {
    return "demo-report";
  }

  @Override
  public String summary() {
    return "check the records of a demo run";
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) throws Exception {
    OptionSet options;
    try {
      options = parser.parse(arguments.toArray(String[]::new));
    } catch (OptionException invalid) {
      err.println("waxwingbeam demo-report: " + invalid.getMessage());
      return ExitCode.USAGE;
    }
    if (options.has(help)) {
      out.print(helpText());
      return ExitCode.OK;
    }
    if (!options.has(outcomes) || !options.has(events) || !options.has(dataCentre)) {
      err.println("waxwingbeam demo-report: --outcomes, --events and --data-centre are required");
      return ExitCode.USAGE;
    }
    List<RecordedRun> runs = new ArrayList<>();
    for (String file : options.valuesOf(records)) {
      runs.addAll(RecordFiles.runs(Path.of(file)));
    }
    DemoReport report =
        new DemoReport(
            RecordFiles.outcomes(Path.of(options.valueOf(outcomes))),
            runs,
            change(options.valueOf(dataCentre), Path.of(options.valueOf(events))));
    return print(report.evaluate(), out);
  }

  private static ExitCode print(MeasurementReport report, PrintStream out) {
    new ReportPrinter(out).printText("demo", report);
    boolean allKept = report.bounds().stream().allMatch(Bound::held);
    return allKept ? ExitCode.OK : ExitCode.FAILED;
  }

  private static DemoReport.DataCentreChange change(String name, Path file) throws Exception {
    Map<String, Long> times = RecordFiles.events(file);
    return new DemoReport.DataCentreChange(
        name,
        times.get("out-sent"),
        times.get("out-in-force"),
        times.get("in-sent"),
        times.get("in-in-force"));
  }

  private String helpText() {
    return new HelpText(
            "waxwingbeam demo-report [OPTION]...",
            "Checks the records of a demo run.",
            List.of(ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE))
        .format(parser);
  }
}
