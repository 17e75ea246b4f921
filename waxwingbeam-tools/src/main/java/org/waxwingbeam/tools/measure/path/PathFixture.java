package org.waxwingbeam.tools.measure.path;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.waxwingbeam.control.ClaimTable;
import org.waxwingbeam.daemon.ExitCode;
import org.waxwingbeam.daemon.control.ControlDaemon;
import org.waxwingbeam.daemon.entry.EntryDaemon;
import org.waxwingbeam.daemon.operate.OperateCommand;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.settings.ControlSettings;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.settings.EntrySettings;
import org.waxwingbeam.target.ChoicePolicy;
import org.waxwingbeam.tools.load.LoadGenerator;
import org.waxwingbeam.tools.load.LoadPlan;
import org.waxwingbeam.tools.load.RequestOutcome.Kind;
import org.waxwingbeam.tools.standin.StandInProcess;
import org.waxwingbeam.tools.standin.TargetSpec;

/** Runs a control replica, an entry instance and stand-in targets in this process, on loopback. */
final class PathFixture implements AutoCloseable {
  private static final long CONTACT_MS = 3_000;
  private static final Endpoint FREE_PORT = new Endpoint("127.0.0.1", 0);
  private static final String EVENT_LOOP_PREFIX = "multiThreadIoEventLoopGroup-";
  private static final int TIME_TO_LIVE_MS = 60_000;
  private static final int MAX_ATTEMPTS = 300;
  private static final long RETRY_PAUSE_MS = 100;
  private static final LoadPlan.RequestKind REQUEST =
      LoadPlan.RequestKind.parse("GET parish-of-lucera.listings.officina.example/listings/7");

  private final Path folder;
  private final ControlDaemon control;
  private final EntryDaemon entry;
  private final StandInProcess targets;
  private final Set<Long> entryThreads;

  /**
   * Starts the processes and waits until a request succeeds.
   *
   * @param workers the number of event loops of the entry instance
   * @param target the specification of the stand-in targets, as {@link TargetSpec} parses it
   */
  PathFixture(int workers, String target) throws Exception {
    folder = Files.createTempDirectory("waxwingbeam-path");
    Path token = Files.writeString(folder.resolve("token"), "token-of-this-measurement");
    control = ControlDaemon.start(controlSettings(token), new ClaimTable());
    final Set<Long> earlierThreads = ThreadUsage.idsOf(EVENT_LOOP_PREFIX);
    entry = EntryDaemon.start(entrySettings(token, workers));
    putDefinitions(token);
    entryThreads = ThreadUsage.idsOf(EVENT_LOOP_PREFIX);
    entryThreads.removeAll(earlierThreads);
    targets =
        StandInProcess.start(
            new StandInProcess.Plan(
                TargetSpec.parse(target),
                FREE_PORT,
                List.of(entry.announcementAddress()),
                TIME_TO_LIVE_MS,
                1,
                1));
    awaitResponse();
  }

  /** Returns the address at which the entry instance accepts callers. */
  Endpoint entryEndpoint() {
    return entry.callerAddress();
  }

  /** Returns the address of a target, for requests that bypass the entry instance. */
  Endpoint targetEndpoint() {
    return targets.targetEndpoints().getFirst();
  }

  /** Returns the resources that the entry instance's event loops have used so far. */
  ThreadUsage entryUsage() {
    return ThreadUsage.of(entryThreads);
  }

  /** Returns a load plan of requests that every target can serve. */
  static LoadPlan loadPlan(Endpoint endpoint, double rate, long durationMs, long seed) {
    return new LoadPlan(
        List.of(endpoint),
        List.of(REQUEST),
        List.of(),
        rate,
        LoadPlan.Arrivals.POISSON,
        durationMs,
        Long.MAX_VALUE,
        32,
        10_000,
        false,
        0,
        1,
        seed);
  }

  private void putDefinitions(Path token) throws Exception {
    Path conf = Path.of(System.getProperty("waxwingbeam.root"), "conf", "officina-dialettale");
    runOperateCommand(token, "template", conf.resolve("template-listing.ini"));
    runOperateCommand(token, "template", conf.resolve("template-donation.ini"));
    runOperateCommand(token, "account", conf.resolve("account-parish-of-lucera.ini"));
  }

  private void runOperateCommand(Path token, String subject, Path file) throws Exception {
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    String address = "127.0.0.1:" + control.operatorsPort();
    List<String> arguments =
        List.of("--control", address, "--token-file", token + "", subject, "put", file + "");
    ExitCode code =
        new OperateCommand()
            .run(
                arguments,
                new PrintStream(new ByteArrayOutputStream(), true, UTF_8),
                new PrintStream(err, true, UTF_8));
    if (code != ExitCode.OK) {
      throw new IOException(
          "%s: the operate command ended with %s: %s".formatted(file, code, err.toString(UTF_8)));
    }
  }

  private void awaitResponse() throws InterruptedException, IOException {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      LoadPlan loadPlan = loadPlan(entryEndpoint(), 1_000, 20, 1);
      if (LoadGenerator.run(loadPlan, outcome -> {}).count(Kind.OK) > 0) {
        return;
      }
      Thread.sleep(RETRY_PAUSE_MS);
    }
    throw new IOException(
        "no request through the entry instance succeeded in %d attempts".formatted(MAX_ATTEMPTS));
  }

  private ControlSettings controlSettings(Path token) {
    return new ControlSettings(
        new InstanceName("control-1"),
        folder,
        FREE_PORT,
        FREE_PORT,
        FREE_PORT,
        FREE_PORT,
        List.of(FREE_PORT),
        token,
        token,
        CONTACT_MS);
  }

  private EntrySettings entrySettings(Path token, int workers) {
    return new EntrySettings(
        new InstanceName("entry-1"),
        new DataCentreName("north"),
        FREE_PORT,
        FREE_PORT,
        FREE_PORT,
        FREE_PORT,
        FREE_PORT,
        List.of(new Endpoint("127.0.0.1", control.entriesPort())),
        token,
        new EntrySettings.CallerLimits(16_384, 5_000, 60_000),
        new EntrySettings.ChoiceSettings(ChoicePolicy.DEFAULT_NAME),
        workers,
        CONTACT_MS);
  }

  @Override
  public void close() throws Exception {
    targets.close();
    entry.close();
    control.close();
    Files.deleteIfExists(folder.resolve("token"));
  }
}
