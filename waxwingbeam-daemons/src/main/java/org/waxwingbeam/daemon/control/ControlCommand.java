package org.waxwingbeam.daemon.control;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Supplier;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.waxwingbeam.daemon.Command;
import org.waxwingbeam.daemon.ExitCode;
import org.waxwingbeam.replica.ClaimMachine;
import org.waxwingbeam.settings.ControlSettings;

/**
 * Runs a control replica until the process is told to end.
 *
 * @since 0.1.0
 */
public final class ControlCommand implements Command {
  private static final String HELP =
      """
      Usage: waxwingbeam control --settings FILE

      Runs a control replica: stores accepted changes and serves operators and entry instances.

      Options:
        --settings FILE   the settings, in INI form
        --help            print this text

      Exit codes: 0 stopped in order, 1 failed while running, 2 the command line or the settings
      are wrong.
      """;

  private final SettingsSource settings;
  private final Supplier<ClaimMachine> claims;

  /** Reads the settings of a control replica. */
  public interface SettingsSource {
    /**
     * Reads a file.
     *
     * @throws IOException if the file cannot be read or a setting in it is wrong
     */
    ControlSettings read(Path file) throws IOException;
  }

  /**
   * Creates the command.
   *
   * @param settings reads the settings
   * @param claims creates an empty claim table
   */
  public ControlCommand(SettingsSource settings, Supplier<ClaimMachine> claims) {
    this.settings = settings;
    this.claims = claims;
  }

  @Override
  public String name() {
    return "control";
  }

  @Override
  public String summary() {
    return "run a control replica";
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) throws Exception {
    OptionParser parser = new OptionParser();
    OptionSpec<String> file = parser.accepts("settings").withRequiredArg();
    OptionSpec<Void> help = parser.accepts("help");
    try {
      OptionSet options = parser.parse(arguments.toArray(String[]::new));
      if (options.has(help)) {
        out.print(HELP);
        return ExitCode.OK;
      }
      if (!options.has(file)) {
        err.println("waxwingbeam control: missing option --settings FILE");
        return ExitCode.USAGE;
      }
      return serve(settings.read(Path.of(options.valueOf(file))));
    } catch (OptionException | IOException wrong) {
      err.println("waxwingbeam control: " + wrong.getMessage());
      return ExitCode.USAGE;
    }
  }

  private ExitCode serve(ControlSettings chosen) throws IOException, InterruptedException {
    try (ControlDaemon daemon = ControlDaemon.start(chosen, claims.get())) {
      Runtime.getRuntime().addShutdownHook(new Thread(daemon::close));
      daemon.awaitEnd();
      return ExitCode.OK;
    }
  }
}
