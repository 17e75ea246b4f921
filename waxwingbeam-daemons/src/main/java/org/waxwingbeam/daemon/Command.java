package org.waxwingbeam.daemon;

import java.io.PrintStream;
import java.util.List;

/**
 * One subcommand of the program.
 *
 * @since 0.1.0
 */
public interface Command {
  /** Returns the word that selects the command. */
  String name();

  /** Returns one line that says what the command does. */
  String summary();

  /**
   * Runs the command until it ends.
   *
   * @param arguments the words after the command's name
   * @param out where results go
   * @param err where errors go
   * @return the exit code of the process
   */
  ExitCode run(List<String> arguments, PrintStream out, PrintStream err) throws Exception;
}
