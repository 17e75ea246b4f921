package org.waxwingbeam.tools.demo;

import java.io.PrintStream;
import java.util.List;
import org.waxwingbeam.daemon.Command;
import org.waxwingbeam.daemon.ExitCode;

/**
 * Lists the demo in the help. The demo itself is a shell script, because it starts several
 * processes and the Java programs start none.
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
    return "run the whole system on the loopback address and check its guarantees";
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    err.println("waxwingbeam demo: is a shell script; run it as 'bin/waxwingbeam demo'");
    return ExitCode.USAGE;
  }
}
