package org.waxwingbeam.daemon.operate;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import joptsimple.OptionSpecBuilder;
import org.waxwingbeam.daemon.ExitCode;
import org.waxwingbeam.daemon.HelpText;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.settings.EndpointText;
import org.waxwingbeam.text.Quantity;

/** Defines and parses the command line of the operate command. */
final class OperateCommandLine {
  private static final Pattern COMMA = Pattern.compile("\\s*,\\s*");
  private static final String DESCRIPTION =
      """
      Changes and shows the configuration.

      Actions:
        template list | get NAME | put FILE | remove NAME
        account list | get NAME | put FILE | remove NAME
        data-centre list | out NAME | in NAME
        version move SERVICE --to VERSION --deadline TIME [--from VERSION]
        version back SERVICE --reason TEXT
        version status
        replica list | replace OLD-ID NEW-ID
        status
        history [FROM-NUMBER]
      """;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> control =
      option("control", "the control replicas, separated by commas", "ADDRESS[,ADDRESS]...");
  private final OptionSpec<String> tokenFile =
      option("token-file", "file with the operators' credential", "FILE");
  private final OptionSpec<String> operator =
      parser
          .accepts("operator", "who asks, for the history")
          .withRequiredArg()
          .describedAs("NAME")
          .defaultsTo("operator");
  private final OptionSpec<Long> basedOn =
      parser
          .accepts("based-on", "the number that the change was made for; else the current one")
          .withRequiredArg()
          .describedAs("NUMBER")
          .ofType(Long.class);
  private final OptionSpec<String> changeId =
      option("change-id", "send an earlier change again; else a fresh id is printed", "ID");
  private final OptionSpec<String> from =
      option("from", "the present version, for a service's first move", "VERSION");
  private final OptionSpec<String> to = option("to", "the version to move to", "VERSION");
  private final OptionSpec<String> deadline =
      option("deadline", "when the move must be finished: 30 min, or 2027-01-31T20:00Z", "TIME");
  private final OptionSpec<String> reason =
      option("reason", "why a version move is taken back", "TEXT");
  private final OptionSpec<Void> noWait =
      parser.accepts("no-wait", "end once the change is accepted, before it is in force");
  private final OptionSpec<String> timeout =
      parser
          .accepts("timeout", "how long to try and to wait")
          .withRequiredArg()
          .describedAs("TIME")
          .defaultsTo("15 s");
  private final OptionSpec<Void> force =
      parser.accepts("force", "take out a data centre that no entry instance names, or the last");
  private final OptionSpec<Void> help = parser.accepts("help", "print this text");

  private OptionSpec<String> option(String name, String description, String argument) {
    OptionSpecBuilder option = parser.accepts(name, description);
    return option.withRequiredArg().describedAs(argument);
  }

  String helpText() {
    List<ExitCode> codes = Arrays.asList(ExitCode.values());
    return new HelpText(
            "waxwingbeam operate [OPTION]... ACTION", DESCRIPTION.stripTrailing(), codes)
        .format(parser);
  }

  /** Parses command-line arguments. */
  Parsed parse(List<String> arguments) throws UsageException {
    try {
      return new Parsed(parser.parse(arguments.toArray(String[]::new)));
    } catch (OptionException invalid) {
      throw new UsageException(invalid.getMessage());
    }
  }

  /** A parsed command line: options and non-option arguments. */
  final class Parsed {
    private final OptionSet options;

    Parsed(OptionSet options) {
      this.options = options;
    }

    boolean wantsHelp() {
      return options.has(help);
    }

    List<String> arguments() {
      return options.nonOptionArguments().stream().map(Object::toString).toList();
    }

    Optional<String> from() {
      return Optional.ofNullable(options.valueOf(from));
    }

    Optional<String> to() {
      return Optional.ofNullable(options.valueOf(to));
    }

    Optional<String> deadline() {
      return Optional.ofNullable(options.valueOf(deadline));
    }

    Optional<String> reason() {
      return Optional.ofNullable(options.valueOf(reason));
    }

    OperateOptions options() throws UsageException {
      if (!options.has(control) || !options.has(tokenFile)) {
        throw new UsageException("--control and --token-file are needed");
      }
      return new OperateOptions(
          parseControlEndpoints(options.valueOf(control)),
          Path.of(options.valueOf(tokenFile)),
          options.valueOf(operator),
          Optional.ofNullable(options.valueOf(basedOn)),
          Optional.ofNullable(options.valueOf(changeId)),
          !options.has(noWait),
          parseTimeoutMs(options.valueOf(timeout)),
          options.has(force));
    }
  }

  private static List<Endpoint> parseControlEndpoints(String text) throws UsageException {
    List<Optional<Endpoint>> parsed = COMMA.splitAsStream(text).map(EndpointText::parse).toList();
    if (parsed.stream().anyMatch(Optional::isEmpty)) {
      throw new UsageException(
          "--control '%s': expected addresses such as 10.0.1.1:7001,10.0.1.2:7001".formatted(text));
    }
    return parsed.stream().flatMap(Optional::stream).toList();
  }

  private static long parseTimeoutMs(String text) throws UsageException {
    OptionalLong value = Quantity.DURATION.parse(text);
    if (value.isEmpty()) {
      throw new UsageException(
          "--timeout '%s': expected %s".formatted(text, Quantity.DURATION.description()));
    }
    return value.getAsLong();
  }
}
