package org.waxwingbeam.daemon;

import java.io.PrintStream;
import java.util.List;

/**
 * One subcommand of the program.
 *
 * @since 0.1.0
 */
public interface Command {
  /** Returns the command's name on the command line. */
  String name();

  /** Returns a one-line description of the command for the help text. */
  String summary();

  /**
   * Runs the command and returns when it has ended.
   *
   * @param arguments the command-line arguments after the command's name
   * @param out receives results
   * @param err receives error messages
   * @return the exit code of the process
   */
  ExitCode run(List<String> arguments, PrintStream out, PrintStream err) throws Exception;
}
