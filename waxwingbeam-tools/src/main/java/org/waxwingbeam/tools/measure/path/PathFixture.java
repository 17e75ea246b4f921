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

/** A control replica, an entry instance and stand-in targets in this process, on loopback. */
final class PathFixture implements AutoCloseable {
  private static final Endpoint ANY = new Endpoint("127.0.0.1", 0);
  private static final String EVENT_LOOP_PREFIX = "multiThreadIoEventLoopGroup-";
  private static final int TIME_TO_LIVE_MS = 60_000;
  private static final int ATTEMPTS = 300;
  private static final long PAUSE_MS = 100;
  private static final LoadPlan.RequestKind REQUEST =
      LoadPlan.RequestKind.parse("GET parish-of-lucera.listings.officina.example/listings/7");

  private final Path folder;
  private final ControlDaemon control;
  private final EntryDaemon entry;
  private final StandInProcess targets;
  private final Set<Long> entryThreads;

  /**
   * Starts everything.
   *
   * @param workers event loops of the entry instance
   * @param target the text form of the stand-in targets
   */
  PathFixture(int workers, String target) throws Exception {
    folder = Files.createTempDirectory("waxwingbeam-path");
    Path token = Files.writeString(folder.resolve("token"), "token-of-this-measurement");
    control = ControlDaemon.start(controlSettings(token), new ClaimTable());
    final Set<Long> before = ThreadUsage.idsOf(EVENT_LOOP_PREFIX);
    entry = EntryDaemon.start(entrySettings(token, workers));
    define(token);
    entryThreads = ThreadUsage.idsOf(EVENT_LOOP_PREFIX);
    entryThreads.removeAll(before);
    targets =
        StandInProcess.start(
            new StandInProcess.Plan(
                TargetSpec.parse(target), ANY, List.of(entry.targets()), TIME_TO_LIVE_MS, 1, 1));
    awaitResponse();
  }

  /** Returns where callers reach the entry instance. */
  Endpoint entry() {
    return entry.callers();
  }

  /** Returns where callers reach a target without an entry instance. */
  Endpoint target() {
    return targets.targetEndpoints().getFirst();
  }

  /** Returns what the entry instance's event loops have used so far. */
  ThreadUsage entryUsage() {
    return ThreadUsage.of(entryThreads);
  }

  /** Returns a plan of requests that every target answers. */
  static LoadPlan plan(Endpoint where, double rate, long durationMs, long seed) {
    return new LoadPlan(
        List.of(where),
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

  private void define(Path token) throws Exception {
    Path conf = Path.of(System.getProperty("waxwingbeam.root"), "conf", "officina-dialettale");
    operate(token, "template", conf.resolve("template-listing.ini"));
    operate(token, "template", conf.resolve("template-donation.ini"));
    operate(token, "account", conf.resolve("account-parish-of-lucera.ini"));
  }

  private void operate(Path token, String subject, Path file) throws Exception {
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
      throw new IOException("%s: %s %s".formatted(file, code, err.toString(UTF_8)));
    }
  }

  private void awaitResponse() throws InterruptedException, IOException {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      LoadPlan one = plan(entry(), 1_000, 20, 1);
      if (LoadGenerator.run(one, outcome -> {}).count(Kind.OK) > 0) {
        return;
      }
      Thread.sleep(PAUSE_MS);
    }
    throw new IOException("the entry instance passed no request on");
  }

  private ControlSettings controlSettings(Path token) {
    return new ControlSettings(
        new InstanceName("control-1"), folder, ANY, ANY, ANY, ANY, List.of(ANY), token, token);
  }

  private EntrySettings entrySettings(Path token, int workers) {
    return new EntrySettings(
        new InstanceName("entry-1"),
        new DataCentreName("north"),
        ANY,
        ANY,
        ANY,
        ANY,
        ANY,
        List.of(new Endpoint("127.0.0.1", control.entriesPort())),
        token,
        new EntrySettings.CallerLimits(16_384, 5_000, 60_000),
        new EntrySettings.ChoiceSettings(ChoicePolicy.DEFAULT_NAME),
        workers);
  }

  @Override
  public void close() throws Exception {
    targets.close();
    entry.close();
    control.close();
    Files.deleteIfExists(folder.resolve("token"));
  }
}
