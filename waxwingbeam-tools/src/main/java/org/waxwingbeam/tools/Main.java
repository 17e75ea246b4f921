package org.waxwingbeam.tools;

import java.util.List;
import org.waxwingbeam.control.ClaimTable;
import org.waxwingbeam.daemon.Command;
import org.waxwingbeam.daemon.CommandTable;
import org.waxwingbeam.daemon.DaemonCommand;
import org.waxwingbeam.daemon.ExitCode;
import org.waxwingbeam.daemon.control.ControlDaemon;
import org.waxwingbeam.daemon.entry.EntryDaemon;
import org.waxwingbeam.daemon.operate.OperateCommand;
import org.waxwingbeam.settings.SettingsReader;
import org.waxwingbeam.tools.demo.DemoCommand;
import org.waxwingbeam.tools.demo.DemoReportCommand;
import org.waxwingbeam.tools.explain.ExplainCommand;
import org.waxwingbeam.tools.load.LoadCommand;
import org.waxwingbeam.tools.measure.MeasureCommand;
import org.waxwingbeam.tools.measure.Measurement;
import org.waxwingbeam.tools.measure.capacity.CapacityMeasurement;
import org.waxwingbeam.tools.measure.choice.ChoiceMeasurement;
import org.waxwingbeam.tools.measure.choice.ColdMeasurement;
import org.waxwingbeam.tools.measure.choice.DataCentreMeasurement;
import org.waxwingbeam.tools.measure.control.ControlMeasurement;
import org.waxwingbeam.tools.measure.path.PathMeasurement;
import org.waxwingbeam.tools.measure.requests.RequestMeasurement;
import org.waxwingbeam.tools.measure.versions.VersionsMeasurement;
import org.waxwingbeam.tools.standin.TargetCommand;

/**
 * Runs the command line with every command: those of the shipped daemons and those of the tools.
 */
public final class Main {
  private static final List<Measurement> MEASUREMENTS =
      List.of(
          new PathMeasurement(),
          new RequestMeasurement(),
          new ChoiceMeasurement(),
          new ColdMeasurement(),
          new DataCentreMeasurement(),
          new VersionsMeasurement(),
          new ControlMeasurement(),
          new CapacityMeasurement());
  private static final List<Command> COMMANDS =
      List.of(
          new DaemonCommand<>("entry", "serve callers", SettingsReader::entry, EntryDaemon::start),
          new DaemonCommand<>(
              "control",
              "run a control replica",
              SettingsReader::control,
              settings -> ControlDaemon.start(settings, new ClaimTable())),
          new OperateCommand(),
          new TargetCommand(),
          new LoadCommand(),
          new DemoCommand(),
          new DemoReportCommand(),
          new ErrorsCommand(),
          new ExplainCommand(System.in),
          new MeasureCommand(MEASUREMENTS));

  private Main() {}

  /** Runs the command line and exits with its code. */
  public static void main(String[] arguments) throws Exception {
    CommandTable table = new CommandTable("waxwingbeam", COMMANDS);
    ExitCode code = table.run(List.of(arguments), System.out, System.err);
    System.exit(code.value());
  }
}
