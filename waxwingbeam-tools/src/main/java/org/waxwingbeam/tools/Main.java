package org.waxwingbeam.tools;

import java.util.List;
import org.waxwingbeam.daemon.Command;
import org.waxwingbeam.daemon.CommandTable;
import org.waxwingbeam.daemon.ExitCode;
import org.waxwingbeam.tools.choice.ChoiceMeasurement;
import org.waxwingbeam.tools.choice.ColdMeasurement;
import org.waxwingbeam.tools.choice.DataCentreMeasurement;
import org.waxwingbeam.tools.load.LoadCommand;
import org.waxwingbeam.tools.measure.MeasureCommand;
import org.waxwingbeam.tools.measure.Measurement;
import org.waxwingbeam.tools.measure.capacity.CapacityMeasurement;
import org.waxwingbeam.tools.standin.TargetCommand;

/** Starts the program with every command: the shipped daemons' and the tools'. */
public final class Main {
  private static final List<Measurement> MEASUREMENTS =
      List.of(
          new CapacityMeasurement(),
          new ChoiceMeasurement(),
          new ColdMeasurement(),
          new DataCentreMeasurement());

  private Main() {}

  /** Runs the command line and exits with its code. */
  public static void main(String[] arguments) throws Exception {
    List<Command> commands =
        List.of(new TargetCommand(), new LoadCommand(), new MeasureCommand(MEASUREMENTS));
    CommandTable table = new CommandTable("waxwingbeam", commands);
    ExitCode code = table.run(List.of(arguments), System.out, System.err);
    System.exit(code.value());
  }
}
