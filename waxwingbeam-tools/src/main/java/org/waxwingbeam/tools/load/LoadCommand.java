package org.waxwingbeam.tools.load;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.waxwingbeam.daemon.Command;
import org.waxwingbeam.daemon.ExitCode;
import org.waxwingbeam.tools.Endpoints;
import org.waxwingbeam.tools.load.LoadPlan.Arrivals;
import org.waxwingbeam.tools.load.LoadPlan.Header;
import org.waxwingbeam.tools.load.LoadPlan.RequestKind;

/**
 * The command {@code load}: sends requests at a set rate and prints outcomes and latencies.
 *
 * @since 0.1.0
 */
public final class LoadCommand implements Command {
  private static final String HELP =
      """
      Usage: waxwingbeam load --entry HOST:PORT --request REQUEST [OPTION]...

      Sends requests at a set mean rate, even while earlier ones still await their responses.
      Latency counts from the time at which a request was due.

      Options:
        --entry HOST:PORT    where to send requests; repeatable, used in turn
        --request REQUEST    'METHOD HOST/PATH [WEIGHT]'; repeatable, chosen at random by weight
        --header 'NAME: V'   an additional header of every request; repeatable
        --rate N             mean number of requests per second (default: 100)
        --arrivals KIND      poisson or uniform (default: poisson)
        --duration SECONDS   when to stop (default: 10)
        --count N            stop after N requests
        --connections N      connections to each entry, for each thread (default: 32)
        --timeout MS         time without a complete response before a request is given up
                             (default: 10000)
        --keys               send an idempotency key with each request except GET and HEAD
        --body BYTES         size of the body of POST and PUT requests (default: 0)
        --threads N          number of event loops (default: 1)
        --seed N             seed of the random numbers (default: 1)
        --outcomes FILE      write one JSON line for each request
        --format FORMAT      text or json (default: text)
        --help               print this text
      """;

  private final OptionParser parser = new OptionParser(false);
  private final OptionSpec<String> entries = stringOption("entry");
  private final OptionSpec<String> requests = stringOption("request");
  private final OptionSpec<String> headers = stringOption("header");
  private final OptionSpec<Double> rate = doubleOption("rate", 100);
  private final OptionSpec<String> arrivals =
      parser.accepts("arrivals").withRequiredArg().defaultsTo("poisson");
  private final OptionSpec<Double> duration = doubleOption("duration", 10);
  private final OptionSpec<Long> count = longOption("count", Long.MAX_VALUE);
  private final OptionSpec<Long> connections = longOption("connections", 32);
  private final OptionSpec<Long> timeout = longOption("timeout", 10_000);
  private final OptionSpec<Void> keys = parser.accepts("keys");
  private final OptionSpec<Long> body = longOption("body", 0);
  private final OptionSpec<Long> threads = longOption("threads", 1);
  private final OptionSpec<Long> seed = longOption("seed", 1);
  private final OptionSpec<String> outcomes = stringOption("outcomes");
  private final OptionSpec<String> format =
      parser.accepts("format").withRequiredArg().defaultsTo("text");
  private final OptionSpec<Void> help = parser.accepts("help");

  @Override
  public String name() {
    return "load";
  }

  @Override
  public String summary() {
    return "send requests at a set rate and validate the responses";
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) throws Exception {
    LoadPlan plan;
    OptionSet options;
    try {
      options = parser.parse(arguments.toArray(String[]::new));
      if (options.has(help)) {
        out.print(HELP);
        return ExitCode.OK;
      }
      plan = plan(options);
    } catch (OptionException | IllegalArgumentException invalid) {
      err.println("waxwingbeam load: " + invalid.getMessage());
      return ExitCode.USAGE;
    }
    LoadResult result = run(plan, options);
    LoadPrinter printer = new LoadPrinter(out);
    if (options.valueOf(format).equals("json")) {
      printer.printJson(result);
    } else {
      printer.printText(result);
    }
    return ExitCode.OK;
  }

  private LoadResult run(LoadPlan plan, OptionSet options) throws IOException {
    if (!options.has(outcomes)) {
      return LoadGenerator.run(plan, outcome -> {});
    }
    Path file = Path.of(options.valueOf(outcomes));
    try (Writer writer = Files.newBufferedWriter(file);
        PrintWriter lines = new PrintWriter(writer)) {
      return LoadGenerator.run(plan, outcome -> lines.println(outcome.json()));
    }
  }

  private LoadPlan plan(OptionSet options) {
    if (!List.of("text", "json").contains(options.valueOf(format))) {
      throw new IllegalArgumentException(
          "--format '%s': expected text or json".formatted(options.valueOf(format)));
    }
    return new LoadPlan(
        options.valuesOf(entries).stream().map(Endpoints::parse).toList(),
        options.valuesOf(requests).stream().map(RequestKind::parse).toList(),
        options.valuesOf(headers).stream().map(Header::parse).toList(),
        options.valueOf(rate),
        arrivals(options.valueOf(arrivals)),
        (long) (options.valueOf(duration) * 1_000),
        options.valueOf(count),
        options.valueOf(connections).intValue(),
        options.valueOf(timeout),
        options.has(keys),
        options.valueOf(body).intValue(),
        options.valueOf(threads).intValue(),
        options.valueOf(seed));
  }

  private static Arrivals arrivals(String text) {
    return switch (text) {
      case "poisson", "uniform" -> Arrivals.valueOf(text.toUpperCase(Locale.ROOT));
      default ->
          throw new IllegalArgumentException(
              "--arrivals '%s': expected poisson or uniform".formatted(text));
    };
  }

  private OptionSpec<String> stringOption(String name) {
    return parser.accepts(name).withRequiredArg();
  }

  private OptionSpec<Double> doubleOption(String name, double defaultValue) {
    return parser.accepts(name).withRequiredArg().ofType(Double.class).defaultsTo(defaultValue);
  }

  private OptionSpec<Long> longOption(String name, long defaultValue) {
    return parser.accepts(name).withRequiredArg().ofType(Long.class).defaultsTo(defaultValue);
  }
}
