package org.waxwingbeam.tools.standin;

import java.io.PrintStream;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.waxwingbeam.daemon.Command;
import org.waxwingbeam.daemon.ExitCode;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.tools.Endpoints;

/**
 * The command {@code target}: runs stand-in targets until the process is stopped.
 *
 * @since 0.1.0
 */
public final class TargetCommand implements Command {
  private static final String HELP =
      """
      Usage: waxwingbeam target [OPTION]...

      Runs stand-in targets that announce themselves to entry instances.

      Options:
        --target SPEC         targets as key=value pairs separated by commas; repeatable
                              (default: service=listings,port=0)
        --announce HOST:PORT  an entry instance's address for announcements; repeatable
        --control HOST:PORT   where to listen for commands (default: 127.0.0.1:0)
        --time-to-live MS     how long an announcement is valid (default: 3000)
        --threads N           number of event loops (default: 1)
        --seed N              seed of the random numbers (default: 1)
        --help                print this text

      Keys of a target: service, host, port, count (targets on consecutive ports), version,
      data-centre, slots, queue, cold-capacity, cold (true or false), warm-up (ms),
      service-time (ms), distribution (fixed or exponential), restart (ms after a crash).

      Commands at the control address:
        POST /set?KEY=VALUE   slow, slow-above, fail, fail-above, shed, late (ms), truncate for
                              paths that start with route=PREFIX; cold, cold-refuses, drain, lie
        POST /crash           end every exchange and stop listening
        POST /clear           clear the record
        GET /record           the record of each target and each run of a request, as JSON
        GET /summary          the record without the single runs
      port=, service=, version= and data-centre= select targets; without them, all are selected.
      """;

  @Override
  public String name() {
    return "target";
  }

  @Override
  public String summary() {
    return "run stand-in targets";
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) throws Exception {
    OptionParser parser = new OptionParser(false);
    OptionSpec<String> targets =
        parser.accepts("target").withRequiredArg().defaultsTo("service=listings,port=0");
    OptionSpec<String> entries = parser.accepts("announce").withRequiredArg();
    OptionSpec<String> control =
        parser.accepts("control").withRequiredArg().defaultsTo("127.0.0.1:0");
    OptionSpec<Integer> timeToLive =
        parser.accepts("time-to-live").withRequiredArg().ofType(Integer.class).defaultsTo(3_000);
    OptionSpec<Integer> threads =
        parser.accepts("threads").withRequiredArg().ofType(Integer.class).defaultsTo(1);
    OptionSpec<Long> seed =
        parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
    OptionSpec<Void> help = parser.accepts("help");
    StandInProcess.Plan plan;
    try {
      OptionSet options = parser.parse(arguments.toArray(String[]::new));
      if (options.has(help)) {
        out.print(HELP);
        return ExitCode.OK;
      }
      plan =
          new StandInProcess.Plan(
              options.valuesOf(targets).stream()
                  .flatMap(text -> TargetSpec.parse(text).stream())
                  .toList(),
              Endpoints.parse(options.valueOf(control)),
              options.valuesOf(entries).stream().map(Endpoints::parse).toList(),
              options.valueOf(timeToLive),
              options.valueOf(threads),
              options.valueOf(seed));
    } catch (OptionException | IllegalArgumentException invalid) {
      err.println("waxwingbeam target: " + invalid.getMessage());
      return ExitCode.USAGE;
    }
    return serve(plan, out);
  }

  private static ExitCode serve(StandInProcess.Plan plan, PrintStream out) throws Exception {
    try (StandInProcess process = StandInProcess.start(plan)) {
      out.println("event=listening control=" + process.controlEndpoint());
      List<Endpoint> listening = process.targetEndpoints();
      listening.forEach(endpoint -> out.println("event=listening target=" + endpoint));
      out.flush();
      process.awaitClosed();
    }
    return ExitCode.OK;
  }
}
