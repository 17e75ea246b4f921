package org.waxwingbeam.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.logging.LogLevel;
import org.waxwingbeam.logging.LogOutput;
import org.waxwingbeam.settings.SettingsResult;

/**
 * Runs a daemon with the settings of a file until a stop signal arrives or the daemon fails.
 *
 * <pre>{@code
 * new DaemonCommand<>("entry", "serve callers", SettingsReader::entry, EntryDaemon::start);
 * }</pre>
 *
 * @param <T> the settings of the daemon
 * @since 0.1.0
 */
public final class DaemonCommand<T> implements Command {
  private static final EventLog LOG = new EventLog(DaemonCommand.class);

  private final String name;
  private final String summary;
  private final Reader<T> reader;
  private final Starter<T> starter;
  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> settingsOption =
      parser.accepts("settings", "the settings file").withRequiredArg().describedAs("FILE");
  private final OptionSpec<Void> checkOption =
      parser.accepts("check-settings", "check the settings file and end");
  private final OptionSpec<Void> helpOption = parser.accepts("help", "print this text");

  /**
   * Creates the command.
   *
   * @param name the command's name on the command line
   * @param summary a one-line description of the daemon for the help text
   * @param reader reads the settings file
   * @param starter starts the daemon
   */
  public DaemonCommand(String name, String summary, Reader<T> reader, Starter<T> starter) {
    this.name = name;
    this.summary = summary;
    this.reader = reader;
    this.starter = starter;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public String summary() {
    return summary;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) throws Exception {
    OptionSet options;
    try {
      options = parser.parse(arguments.toArray(String[]::new));
    } catch (OptionException invalid) {
      return usageError(err, invalid.getMessage());
    }
    if (options.has(helpOption)) {
      out.print(helpText().format(parser));
      return ExitCode.OK;
    }
    if (!options.nonOptionArguments().isEmpty()) {
      return usageError(err, "unexpected '%s'".formatted(options.nonOptionArguments().getFirst()));
    }
    if (!options.has(settingsOption)) {
      return usageError(err, "--settings FILE is missing");
    }
    return runWith(options.valueOf(settingsOption), options.has(checkOption), out, err);
  }

  private HelpText helpText() {
    return new HelpText(
        "waxwingbeam %s --settings FILE [OPTION]...".formatted(name),
        summary + ".",
        List.of(ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE));
  }

  private ExitCode usageError(PrintStream err, String message) {
    err.println("waxwingbeam %s: %s; see --help".formatted(name, message));
    return ExitCode.USAGE;
  }

  private ExitCode runWith(String path, boolean checkOnly, PrintStream out, PrintStream err)
      throws Exception {
    SettingsResult<T> result;
    try {
      result = reader.read(Path.of(path));
    } catch (IOException unreadable) {
      return usageError(err, "settings file can't be read: " + unreadable.getMessage());
    }
    return switch (result) {
      case SettingsResult.Invalid<T> invalid -> {
        invalid.faults().forEach(fault -> err.println(fault.message()));
        yield ExitCode.USAGE;
      }
      case SettingsResult.Valid<T> valid -> {
        if (checkOnly) {
          out.println(path + ": valid");
          yield ExitCode.OK;
        }
        yield serve(valid.settings(), valid.logLevel(), err);
      }
    };
  }

  /** Runs the daemon until a stop signal arrives or the daemon fails, then closes it. */
  private ExitCode serve(T settings, LogLevel level, PrintStream err) throws Exception {
    LogOutput.install(err, level);
    CountDownLatch stopRequested = new CountDownLatch(1);
    AtomicBoolean failed = new AtomicBoolean();
    try (AutoCloseable daemon = starter.start(settings)) {
      StopSignals.install(stopRequested::countDown, () -> stopNow(daemon));
      if (daemon instanceof FailingDaemon failing) {
        failing.whenFailed(() -> recordFailureAndStop(failed, stopRequested));
      }
      LOG.info("started", "daemon", name);
      stopRequested.await();
      LOG.info("stopping", "daemon", name);
    } catch (IOException unusable) {
      err.println("waxwingbeam %s: %s".formatted(name, unusable.getMessage()));
      failed.set(true);
    } finally {
      LOG.info("stopped", "daemon", name);
    }
    return failed.get() ? ExitCode.FAILED : ExitCode.OK;
  }

  private static void recordFailureAndStop(AtomicBoolean failed, CountDownLatch stopRequested) {
    failed.set(true);
    stopRequested.countDown();
  }

  private static void stopNow(AutoCloseable daemon) {
    if (daemon instanceof StoppableNow stoppable) {
      stoppable.stopNow();
    }
  }

  /**
   * Reads the settings of a daemon.
   *
   * @param <T> the settings
   */
  @FunctionalInterface
  public interface Reader<T> {
    /**
     * Reads a settings file.
     *
     * @throws IOException if the file can't be read
     */
    SettingsResult<T> read(Path path) throws IOException;
  }

  /**
   * Starts a daemon.
   *
   * @param <T> the settings
   */
  @FunctionalInterface
  public interface Starter<T> {
    /** Starts a daemon. Closing it waits for the outstanding requests. */
    AutoCloseable start(T settings) throws Exception;
  }
}
