package org.waxwingbeam.tools.explain;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.waxwingbeam.daemon.Command;
import org.waxwingbeam.daemon.ExitCode;
import org.waxwingbeam.daemon.HelpText;

/**
 * The command {@code explain}: prints from logs what happened to one request.
 *
 * <pre>{@code
 * waxwingbeam explain 6ca543e91ae7060b entry-1.log entry-2.log control-1.log
 * }</pre>
 *
 * @since 0.1.0
 */
public final class ExplainCommand implements Command {
  private static final String STANDARD_INPUT = "-";

  private final InputStream standardInput;
  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Void> help = parser.accepts("help", "print this text");
  private final OptionSpec<String> words = parser.nonOptions();

  /**
   * Creates the command.
   *
   * @param standardInput the log that is read if no file is named
   */
  public ExplainCommand(InputStream standardInput) {
    this.standardInput = standardInput;
  }

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "print from logs what happened to one request";
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) throws IOException {
    OptionSet options;
    try {
      options = parser.parse(arguments.toArray(String[]::new));
    } catch (OptionException invalid) {
      err.println("waxwingbeam explain: " + invalid.getMessage());
      return ExitCode.USAGE;
    }
    if (options.has(help)) {
      out.print(helpText());
      return ExitCode.OK;
    }
    List<String> given = options.valuesOf(words);
    if (given.isEmpty()) {
      err.println("waxwingbeam explain: expected a request id");
      return ExitCode.USAGE;
    }
    List<String> files = given.size() > 1 ? given.subList(1, given.size()) : List.of("-");
    return explain(given.getFirst(), files, out, err);
  }

  private ExitCode explain(String requestId, List<String> files, PrintStream out, PrintStream err)
      throws IOException {
    LogFiles logs = new LogFiles(requestId);
    for (String file : files) {
      try {
        read(logs, file, err);
      } catch (NoSuchFileException missing) {
        err.println("waxwingbeam explain: '%s': expected a log file, found none".formatted(file));
        return ExitCode.USAGE;
      }
    }
    List<String> text = new Explanation(requestId, logs.lines()).text();
    if (text.isEmpty()) {
      err.println(
          "waxwingbeam explain: request '%s': expected an id that a log names, found none in %d"
                  .formatted(requestId, logs.readLines())
              + " lines; of requests that were in time, one in 64 is logged");
      return ExitCode.FAILED;
    }
    text.forEach(out::println);
    return ExitCode.OK;
  }

  private void read(LogFiles logs, String file, PrintStream err) throws IOException {
    if (file.equals(STANDARD_INPUT)) {
      warnOfSkipped("standard input", logs.read("stdin", standardInput), err);
      return;
    }
    Path path = Path.of(file);
    try (InputStream log = Files.newInputStream(path)) {
      warnOfSkipped(file, logs.read(path.getFileName().toString(), log), err);
    }
  }

  private static void warnOfSkipped(String file, long skipped, PrintStream err) {
    if (skipped > 0) {
      err.println(
          "waxwingbeam explain: warning: %s: skipped %d lines that are not lines of a log"
              .formatted(file, skipped));
    }
  }

  private String helpText() {
    return new HelpText(
            "waxwingbeam explain REQUEST-ID [LOG-FILE]...",
            """
            Prints from the logs of entry instances and control replicas what happened to a
            request: its attempts, what the entry instance knew when it made them, and what
            changed meanwhile. Without a file, or for '-', standard input is read.\
            """,
            List.of(ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE))
        .format(parser);
  }
}
