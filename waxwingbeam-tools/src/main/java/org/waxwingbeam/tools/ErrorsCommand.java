package org.waxwingbeam.tools;

import java.io.PrintStream;
import java.util.List;
import org.waxwingbeam.caller.ErrorReferencePage;
import org.waxwingbeam.daemon.Command;
import org.waxwingbeam.daemon.ExitCode;

/** Prints the reference page of the error kinds. */
final class ErrorsCommand implements Command {
  @Override
  public String name() {
    return "errors";
  }

  @Override
  public String summary() {
    return "print the table of error kinds (docs/ERRORS.md)";
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    if (!arguments.isEmpty()) {
      err.println("waxwingbeam errors: unexpected '%s'".formatted(arguments.getFirst()));
      return ExitCode.USAGE;
    }
    out.print(ErrorReferencePage.markdown());
    return ExitCode.OK;
  }
}
