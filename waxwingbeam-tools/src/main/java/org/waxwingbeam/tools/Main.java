package org.waxwingbeam.tools;

import java.util.List;
import org.waxwingbeam.daemon.CommandTable;
import org.waxwingbeam.daemon.ExitCode;
import org.waxwingbeam.tools.choice.ChoiceMeasurement;
import org.waxwingbeam.tools.measure.MeasureCommand;

/** Starts the program with every command: the shipped daemons' and the tools'. */
public final class Main {
  private Main() {}

  /** Runs the command line and exits with its code. */
  public static void main(String[] arguments) throws Exception {
    CommandTable table =
        new CommandTable(
            "waxwingbeam", List.of(new MeasureCommand(List.of(new ChoiceMeasurement()))));
    ExitCode code = table.run(List.of(arguments), System.out, System.err);
    System.exit(code.value());
  }
}
