package org.waxwingbeam.tools.demo;

import java.io.PrintStream;
import java.util.List;
import org.waxwingbeam.daemon.Command;
import org.waxwingbeam.daemon.ExitCode;

/**
 * Names the demo in the help. The demo is a script, since no program of the system starts another.
 *
 * @since 0.1.0
 */
public final class DemoCommand implements Command {
  @Override
  public String name() {
    return "demo";
  }

  @Override
  public String summary() {
    return "run the whole system on loopback and check its promises";
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    err.println("waxwingbeam demo: is a script; run bin/waxwingbeam demo");
    return ExitCode.USAGE;
  }
}
