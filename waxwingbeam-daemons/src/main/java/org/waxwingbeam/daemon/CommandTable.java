package org.waxwingbeam.daemon;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;

/**
 * Dispatches a command line to the subcommand that its first argument names.
 *
 * <pre>{@code
 * CommandTable table = new CommandTable("waxwingbeam", commands);
 * table.run(List.of("entry", "--help"), System.out, System.err);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class CommandTable {
  private static final String VERSION = "0.1.0";

  private final String program;
  private final List<Command> commands;

  /**
   * Creates the table.
   *
   * @param program the name of the program, for help and error messages
   * @param commands the commands, in the order in which the help lists them
   */
  public CommandTable(String program, List<Command> commands) {
    this.program = program;
    this.commands = List.copyOf(commands);
  }

  /** Runs the command that the first argument names. */
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) throws Exception {
    if (arguments.isEmpty() || arguments.getFirst().equals("--help")) {
      out.print(help());
      return arguments.isEmpty() ? ExitCode.USAGE : ExitCode.OK;
    }
    if (arguments.getFirst().equals("--version")) {
      out.println(program + " " + VERSION);
      return ExitCode.OK;
    }
    Optional<Command> command = find(arguments.getFirst());
    if (command.isEmpty()) {
      err.println(
          "%s: unknown command '%s'; expected one of %s"
              .formatted(program, arguments.getFirst(), names()));
      return ExitCode.USAGE;
    }
    return command.get().run(arguments.subList(1, arguments.size()), out, err);
  }

  private Optional<Command> find(String name) {
    return commands.stream().filter(command -> command.name().equals(name)).findFirst();
  }

  private String names() {
    return String.join(", ", commands.stream().map(Command::name).toList());
  }

  private String help() {
    StringBuilder text = new StringBuilder();
    text.append("Usage: %s COMMAND [OPTION]...%n%nCommands:%n".formatted(program));
    commands.forEach(
        command -> text.append("  %-12s %s%n".formatted(command.name(), command.summary())));
    text.append("%nRun '%s COMMAND --help' for the options of one.%n".formatted(program));
    return text.toString();
  }
}
